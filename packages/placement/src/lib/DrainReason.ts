/** Why a serving replica stops taking requests. */
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
