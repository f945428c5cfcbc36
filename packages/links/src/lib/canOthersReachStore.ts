/**
 * Time by which the last answer of the store to another entry must be newer than the last one to the
 * holder, in ms. Longer than the time between two calls of the holder, so that an outage for all
 * entries is not mistaken for an outage of the holder alone.
 */
const MARGIN_MILLISECONDS = 1_000;

/**
 * Whether the store answers other entries but not the holder of the lease.
 * @param ownAgeMilliseconds Time since the store last answered the holder.
 * @param otherAgesMilliseconds Time since the store last answered each of the other entries, as of now.
 */
export default function canOthersReachStore(
  ownAgeMilliseconds: number,
  otherAgesMilliseconds: readonly number[],
): boolean {
  return otherAgesMilliseconds.some((age) => age + MARGIN_MILLISECONDS < ownAgeMilliseconds);
}
