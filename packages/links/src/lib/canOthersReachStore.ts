/**
 * Time by which another entry must have heard of the store later than the holder, in ms: above the
 * time between two calls of the holder, so that an outage for all is not taken for one of the holder.
 */
const MARGIN_MILLISECONDS = 1_000;

/**
 * Whether the store serves other entries while it turns the holder of the lease away.
 * @param ownAgeMilliseconds Time since the store last answered the holder.
 * @param otherAgesMilliseconds The same for the other entries, as of now.
 */
export default function canOthersReachStore(
  ownAgeMilliseconds: number,
  otherAgesMilliseconds: readonly number[],
): boolean {
  return otherAgesMilliseconds.some((age) => age + MARGIN_MILLISECONDS < ownAgeMilliseconds);
}
