/** How a stream would fare at a target. */
export default interface LatencyPrediction {
  /** Time to its first event, in ms. */
  readonly firstEventMilliseconds: number;
  /** Part of it that goes into the reading of prompts, in ms. */
  readonly prefillMilliseconds: number;
  /** Part of it that is spent waiting for a place, in ms. */
  readonly queueMilliseconds: number;
  /** Pause that the streams of the target would see while it reads the prompts, in ms. */
  readonly pauseMilliseconds: number;
}
