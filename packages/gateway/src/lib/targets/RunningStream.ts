import type { ModelName } from '@dandelionlane/core';

/** A stream that runs on a target, as the stall detector sees it. */
export default interface RunningStream {
  /** Monotonic time at which its request was sent, in ms. */
  readonly sentAt: number;
  /** Monotonic time of its last event, or null before the first. */
  readonly lastEventAt: number | null;
  /** Time from its sending in which its first event was expected, in ms. */
  readonly expectedFirstEventMilliseconds: number;
  /** Tokens of its prompt. */
  readonly promptTokens: number;
  /** Model that it runs on. */
  readonly model: ModelName | null;
  /** Whether this process itself holds it up. */
  readonly paused: boolean;
  /** Formation of the group that it runs on. */
  readonly formation: string;
  /** The target stands still: go on elsewhere if that is possible. */
  stalled(): void;
}
