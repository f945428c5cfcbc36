/** Latencies of one model's replicas, estimated from the streams of this entry. */
export default interface ModelTiming {
  /** Median time to the first event at a replica with a free slot, excluding prefill, in ms. */
  readonly firstEventMilliseconds: number;
  /** Mean duration of a stream, in ms. */
  readonly streamMilliseconds: number;
}
