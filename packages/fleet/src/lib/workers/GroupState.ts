/**
 * State of a group as one of its workers sees it. Only the head is ever `open` or `closing`;
 * `broken` means that the head has noticed the loss of a member.
 */
type GroupState = 'joining' | 'ready' | 'open' | 'closing' | 'broken';

export default GroupState;
