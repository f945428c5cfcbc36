/**
 * How often a call may run. `repeatable`: idempotent, may be retried. `once`: not
 * retried after a byte was sent. `claimed`: as `once`, and at most once across all
 * entries, by a claim on its Idempotency-Key.
 */
type Repeatability = 'repeatable' | 'once' | 'claimed';

export default Repeatability;
