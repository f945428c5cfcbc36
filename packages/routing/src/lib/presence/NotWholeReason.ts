/** Why a replica is not whole. */
type NotWholeReason = | 'replica-not-serving'
  | 'member-unseen'
  | 'member-stale'
  | 'member-other-replica'
  | 'member-leaving'
  | 'member-not-ready'
  | 'incarnation-changed';

export default NotWholeReason;
