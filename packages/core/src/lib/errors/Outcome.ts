import { z } from 'zod';

/**
 * Whether a failed request may have been executed. `not-run`: no byte of the request
 * reached a target. `unknown`: the request may have run.
 */
const Outcome = z.enum(['not-run', 'unknown']);
type Outcome = z.infer<typeof Outcome>;

export default Outcome;
