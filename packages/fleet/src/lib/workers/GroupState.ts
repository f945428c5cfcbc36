/**
 * State of a group as reported by one of its workers. Only the head is ever `open` or `closing`;
 * `broken` means that the head has detected the loss of a member.
 */
type GroupState = 'joining' | 'ready' | 'open' | 'closing' | 'broken';

export default GroupState;
