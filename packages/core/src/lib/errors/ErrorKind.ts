import { z } from 'zod';

/** The closed list of error kinds. `ERROR_ANSWERS` maps each to its HTTP answer. */
const ErrorKind = z.enum([
  'malformed-request',
  'http-version-unsupported',
  'body-too-large',
  'unknown-team',
  'unauthorized',
  'unknown-service',
  'unknown-path',
  'idempotency-key-missing',
  'idempotency-key-reused',
  'idempotency-key-in-progress',
  'overloaded',
  'team-over-share',
  'deadline-unreachable',
  'no-whole-replica',
  'no-accepted-state',
  'store-unavailable',
  'store-outcome-unknown',
  'entry-leaving',
  'home-unreachable',
  'prompt-quarantined',
  'target-refused',
  'target-lost',
  'target-timeout',
  'replica-not-whole',
  'answer-too-large',
  'caller-gone',
  'release-invalid',
  'release-conflict',
  'settings-invalid',
  'message-invalid',
  'platform-answer-invalid',
  'lease-lost',
  'order-refused',
  'internal',
]);
type ErrorKind = z.infer<typeof ErrorKind>;

export default ErrorKind;
