/** Public state of a member, derived from its liveness and whether it is leaving. */
type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

export default MemberState;
