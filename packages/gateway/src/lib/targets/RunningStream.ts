import type { ModelName } from '@dandelionlane/core';

/** A stream that runs on a target, as the stall detector sees it. */
export default interface RunningStream {
  /** Monotonic time at which its request was sent, in ms. */
  readonly sentAt: number;
  /** Monotonic time of its last event, or null before the first. */
  readonly lastEventAt: number | null;
  /** Expected time from the sending of its request to its first event, in ms. */
  readonly expectedFirstEventMilliseconds: number;
  /** Tokens of its prompt. */
  readonly promptTokens: number;
  /** Model that it runs on. */
  readonly model: ModelName | null;
  /** Whether this process itself has paused it. */
  readonly paused: boolean;
  /** Formation of the group that it runs on. */
  readonly formation: string;
  /** Called when the target has stalled: moves the stream to another target if that is possible. */
  stalled(): void;
}
