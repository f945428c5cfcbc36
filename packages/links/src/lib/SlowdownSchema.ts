import { z } from 'zod';

/**
 * Measured over configured time of a target's steps. Absent where an entry has too few samples or runs an
 * earlier build, and where the value is none: the rest of the message is still used.
 */
const SlowdownSchema = z.number().positive().optional().catch(undefined);

export default SlowdownSchema;
