const MILLISECONDS_PER_SECOND = 1_000;
const MINIMUM_SECONDS = 1;
const MAXIMUM_SECONDS = 60;

/** Whole seconds for the Retry-After header, from the expected wait for a slot. */
export default function retryAfterSeconds(waitMilliseconds: number): number {
  const seconds = Math.ceil(waitMilliseconds / MILLISECONDS_PER_SECOND);
  return Math.min(MAXIMUM_SECONDS, Math.max(MINIMUM_SECONDS, seconds));
}
