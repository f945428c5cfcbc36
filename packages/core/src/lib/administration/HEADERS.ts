/** Header names of the callers' and targets' interfaces. */
const HEADERS = {
  /** Team that sends the request. */
  team: 'dandelionlane-team',
  /** Id of the request; made by the entry when absent. */
  requestId: 'dandelionlane-request-id',
  /** Set by an entry that passes a request on to a home entry. Such a request is not passed on again. */
  forwardedBy: 'dandelionlane-forwarded-by',
  /** Replica that a request is meant for; a target that does not carry it refuses. */
  replica: 'dandelionlane-replica',
  /** Entry that answered. */
  servedBy: 'dandelionlane-served-by',
  /** IETF draft: key of a call that runs at most once. */
  idempotencyKey: 'idempotency-key',
  /** Time that the caller still waits, in milliseconds. */
  timeout: 'dandelionlane-timeout-milliseconds',
} as const;

export default HEADERS;
