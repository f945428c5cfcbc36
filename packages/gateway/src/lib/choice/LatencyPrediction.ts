/** Predicted latency of a stream at a target. */
export default interface LatencyPrediction {
  /** Time to its first event, in ms. */
  readonly firstEventMilliseconds: number;
  /** Part of it that is spent on prefill, in ms. */
  readonly prefillMilliseconds: number;
  /** Part of it that is spent waiting for a slot, in ms. */
  readonly queueMilliseconds: number;
  /** Pause that the target's running streams would see during the prefill, in ms. */
  readonly pauseMilliseconds: number;
  /** Factor by which the target is taken to be slower than configured; 1 if it is not. */
  readonly slowdown: number;
}
