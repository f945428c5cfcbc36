/** The closed list of reasons for which a replica counts as not whole. */
type NotWholeReason = | 'replica-not-serving'
  | 'member-unseen'
  | 'member-stale'
  | 'member-other-replica'
  | 'member-leaving'
  | 'member-not-ready'
  | 'incarnation-changed';

export default NotWholeReason;
