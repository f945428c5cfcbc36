import { z } from 'zod';
import WorkerInstanceSchema from './WorkerInstanceSchema.js';

/** Limit that an instance of a worker has named. */
const TargetLimitSchema = WorkerInstanceSchema.extend({
  /** Requests per second that it takes from all entries together; null once it takes any number. */
  requestsPerSecond: z.number().nullable(),
  /** Time since the worker named it, in ms. */
  ageMilliseconds: z.number(),
});

export default TargetLimitSchema;
