import { z } from 'zod';

const MAXIMUM_CONCURRENCY = 100_000;
const MAXIMUM_TIMEOUT_MILLISECONDS = 3_600_000;

/** Limits of a service. Concurrency counts the in-flight requests on one replica. */
const ServiceLimits = z.strictObject({
  /** Concurrency that one replica can handle during cold start, over all entries together. */
  coldConcurrency: z.number().int().min(1).max(MAXIMUM_CONCURRENCY)
    .default(2),
  /** Concurrency that one warm replica can handle, over all entries together. */
  warmConcurrency: z.number().int().min(1).max(MAXIMUM_CONCURRENCY)
    .default(32),
  /** Longest time from a request's arrival to the last byte of its answer, in milliseconds. */
  requestTimeoutMilliseconds: z.number().int().min(1).max(MAXIMUM_TIMEOUT_MILLISECONDS)
    .default(60_000),
  /** Longest time that a request waits for a target, in milliseconds. */
  queueTimeoutMilliseconds: z.number().int().min(1).max(MAXIMUM_TIMEOUT_MILLISECONDS)
    .default(1_000),
});
type ServiceLimits = z.infer<typeof ServiceLimits>;

export default ServiceLimits;
