/** State of a member as other parts see it. */
type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

export default MemberState;
