import { z } from 'zod';
import WorkerInstanceSchema from './WorkerInstanceSchema.js';

/**
 * A target that was not found at its address: nobody listens there, or another instance or a worker that
 * is not the head of the formation does. The formation is empty for plain targets.
 */
const AbsentTargetSchema = WorkerInstanceSchema.extend({ formation: z.string() });

export default AbsentTargetSchema;
