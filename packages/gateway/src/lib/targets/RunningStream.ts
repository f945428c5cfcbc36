/** A stream that runs on a target, as the stall detector sees it. */
export default interface RunningStream {
  /** Monotonic time at which its request was sent, in ms. */
  readonly sentAt: number;
  /** Monotonic time of its last event, or null before the first. */
  readonly lastEventAt: number | null;
  /** Whether this process itself holds it up. */
  readonly paused: boolean;
  /** Formation of the group that it runs on. */
  readonly formation: string;
  /** The target stands still: go on elsewhere if that is possible. */
  stalled(): void;
}
