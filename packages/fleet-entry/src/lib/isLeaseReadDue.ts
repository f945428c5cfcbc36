/**
 * Longest time between two reads of a lease that another entry holds while no link to it is up, in ms: two
 * steps. A new holder may be at another address.
 */
const MAXIMUM_READ_AGE_MILLISECONDS = 900;

/** What an entry without a live link to the holder knows of the lease. */
interface LeaseKnowledge {
  /** Time until the lease may be acquired, as last seen, in ms; null while that is unknown. */
  readonly freeInMilliseconds: number | null;
  /** Time since the lease was last read or written, in ms. */
  readonly readAgeMilliseconds: number;
  /** Time since the last message of the holder, in ms; infinite before the first one. */
  readonly linkAgeMilliseconds: number;
}

/**
 * Whether an entry without a live link to the holder of the lease has to read the lease. It does once after
 * the link was lost, as the holder may have released the lease or handed it over, and with each step from the
 * time at which it may be free. In between nobody can acquire it.
 */
export default function isLeaseReadDue(
  { freeInMilliseconds, readAgeMilliseconds, linkAgeMilliseconds }: LeaseKnowledge,
): boolean {
  const isReadSinceLink = readAgeMilliseconds <= linkAgeMilliseconds;
  return freeInMilliseconds === null || freeInMilliseconds <= 0 || !isReadSinceLink
    || readAgeMilliseconds >= MAXIMUM_READ_AGE_MILLISECONDS;
}
