/** Why a serving replica is drained. */
type DrainReason = | 'availability-zone-out'
  | 'vm-out'
  | 'vm-leaving'
  | 'withdrawn'
  | 'version-change'
  | 'surplus'
  | 'replica-lost'
  | 'make-room'
  | 'preempted';

export default DrainReason;
