/**
 * How a move ended. `done`: the receiver's groups are open. All others give it up; what has been loaded stays
 * on the hosts.
 */
type MoveOutcome = | 'done' | 'member-lost' | 'group-changed' | 'no-longer-wanted' | 'store-unreachable'
  | 'zone-closed' | 'timed-out';

export default MoveOutcome;
