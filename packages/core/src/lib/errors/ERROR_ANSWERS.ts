import type ErrorAnswer from './ErrorAnswer.js';
import type ErrorKind from './ErrorKind.js';

/**
 * Maps each error kind to its HTTP answer. Invariant: an `outcome` of `not-run` is
 * used only for kinds that are determined before any byte is sent to a target, or
 * after a target has refused the request in a way that rules out execution.
 */
const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  'malformed-request': { status: 400, title: 'Malformed request', outcome: 'not-run' },
  'http-version-unsupported': { status: 505, title: 'HTTP version not supported', outcome: 'not-run' },
  'body-too-large': { status: 413, title: 'Body too large', outcome: 'not-run' },
  'body-too-slow': { status: 408, title: 'Body too slow', outcome: 'not-run' },
  'memory-full': {
    status: 503, title: 'Memory is full', outcome: 'not-run', retryAfterSeconds: 1,
  },
  'requests-full': {
    status: 503, title: 'Too many requests are unfinished', outcome: 'not-run', retryAfterSeconds: 1,
  },
  'unknown-team': { status: 401, title: 'Unknown team', outcome: 'not-run' },
  unauthorized: { status: 401, title: 'Unauthorized', outcome: 'not-run' },
  'unknown-service': { status: 404, title: 'Unknown service', outcome: 'not-run' },
  'unknown-path': { status: 404, title: 'Unknown path', outcome: 'not-run' },
  'idempotency-key-missing': { status: 400, title: 'Idempotency-Key missing', outcome: 'not-run' },
  'idempotency-key-reused': {
    status: 422, title: 'Idempotency-Key reused for another request', outcome: 'not-run',
  },
  'idempotency-key-in-progress': {
    status: 409, title: 'A call with this key has begun', outcome: 'unknown', retryAfterSeconds: 2,
  },
  overloaded: {
    status: 429, title: 'Overloaded', outcome: 'not-run', retryAfterSeconds: 1,
  },
  'team-over-share': {
    status: 429, title: 'Team over its share', outcome: 'not-run', retryAfterSeconds: 1,
  },
  'deadline-unreachable': {
    status: 503, title: 'Deadline cannot be met', outcome: 'not-run', retryAfterSeconds: 1,
  },
  'no-whole-replica': {
    status: 503, title: 'No whole replica', outcome: 'not-run', retryAfterSeconds: 2,
  },
  'no-accepted-state': {
    status: 503, title: 'No accepted state yet', outcome: 'not-run', retryAfterSeconds: 2,
  },
  'store-unavailable': {
    status: 503, title: 'Store unavailable', outcome: 'not-run', retryAfterSeconds: 5,
  },
  'store-outcome-unknown': {
    status: 503, title: 'Store write outcome unknown', outcome: 'unknown', retryAfterSeconds: 5,
  },
  'entry-leaving': {
    status: 503, title: 'Entry is leaving', outcome: 'not-run', retryAfterSeconds: 1,
  },
  'home-unreachable': {
    status: 503, title: 'No home entry reachable', outcome: 'not-run', retryAfterSeconds: 1,
  },
  'prompt-quarantined': {
    status: 503, title: 'Prompt crashes targets', outcome: 'not-run', retryAfterSeconds: 30,
  },
  'target-refused': {
    status: 503, title: 'Target refused', outcome: 'not-run', retryAfterSeconds: 1,
  },
  'target-lost': { status: 502, title: 'Target lost', outcome: 'unknown' },
  'target-timeout': { status: 504, title: 'Target timeout', outcome: 'unknown' },
  'replica-not-whole': { status: 502, title: 'Replica lost a VM', outcome: 'unknown' },
  'answer-too-large': { status: 502, title: 'Answer too large', outcome: 'unknown' },
  'caller-gone': { status: 499, title: 'Caller gone', outcome: 'unknown' },
  'release-invalid': { status: 422, title: 'Release note invalid', outcome: 'not-run' },
  'release-conflict': { status: 409, title: 'Release note conflicts', outcome: 'not-run' },
  'settings-invalid': { status: 422, title: 'Settings invalid', outcome: 'not-run' },
  'message-invalid': { status: 400, title: 'Message invalid', outcome: 'not-run' },
  'platform-answer-invalid': { status: 502, title: 'Platform answer invalid', outcome: 'unknown' },
  'lease-lost': { status: 503, title: 'Lease lost', outcome: 'not-run' },
  'order-refused': { status: 409, title: 'Order refused', outcome: 'not-run' },
  internal: { status: 500, title: 'Internal error', outcome: 'unknown' },
};

export default ERROR_ANSWERS;
