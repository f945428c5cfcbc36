/** Whether a replica takes requests as usual, none, or one as a probe. */
type ReplicaHealth = 'admitted' | 'ejected' | 'probe';

export default ReplicaHealth;
