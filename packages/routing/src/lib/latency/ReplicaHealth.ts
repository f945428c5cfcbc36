/** Whether a replica receives all requests, none, or one as a probe. */
type ReplicaHealth = 'admitted' | 'ejected' | 'probe';

export default ReplicaHealth;
