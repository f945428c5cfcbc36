import { z } from 'zod';

/** Outcomes as the report counts them. */
const OutcomeLabel = z.enum([
  'answered', 'refused-not-run', 'refused-unknown', 'failed', 'broken', 'timeout', 'unreachable', 'wrong',
]);
type OutcomeLabel = z.infer<typeof OutcomeLabel>;

export default OutcomeLabel;
