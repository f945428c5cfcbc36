/** Slowdown of a target that one entry has measured. */
interface MeasuredSlowdown {
  readonly slowdown: number;
  /** Streams of the entry that it was measured with. */
  readonly streams: number;
}

/**
 * The median of what entries have measured, weighted by their streams; of two equal halves the lower one.
 * A target counts as slow only if most streams find it slow: else the path of an entry is.
 */
export default function mergeSlowdowns(measured: readonly MeasuredSlowdown[]): number | null {
  const sorted = [...measured].sort((left, right) => left.slowdown - right.slowdown);
  let rest = sorted.reduce((sum, { streams }) => sum + streams, 0) / 2;
  const median = sorted.find(({ streams }) => {
    rest -= streams;
    return rest <= 0;
  });
  return median?.slowdown ?? null;
}
