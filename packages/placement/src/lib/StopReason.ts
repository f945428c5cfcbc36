/** Why a replica's VMs are ordered to unload. */
type StopReason = 'drained' | 'drain-limit' | 'out-of-service' | 'not-wanted' | 'member-lost' | 'load-limit';

export default StopReason;
