/** Distribution of a time, in milliseconds. */
export default interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly maximum: number;
  /** Points of the percentile curve; percentiles from 0 to 100. */
  readonly curve: readonly { readonly percentile: number; readonly milliseconds: number }[];
}
