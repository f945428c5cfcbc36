/** Times of the replicas of one model, learned from own streams. */
export default interface ModelTiming {
  /** Median time to the first event at a replica with a free place, without the reading of prompts, in ms. */
  readonly firstEventMilliseconds: number;
  /** Mean time that a stream takes, in ms. */
  readonly streamMilliseconds: number;
}
