import type { Clock } from '@dandelionlane/core';

/** Time by which a timer may fire early, in ms: timers count whole milliseconds. */
const TIMER_SLACK_MILLISECONDS = 1;

/** Longest duration of a timer, in ms: one with a longer duration fires at once. */
const MAXIMUM_MILLISECONDS = 2 ** 31 - 1;

/** Duration for a timer that does not fire before the given monotonic time, in ms; at most 24 days. */
export default function timerUntil(clock: Clock, at: number): number {
  const milliseconds = Math.ceil(at - clock.monotonicMilliseconds()) + TIMER_SLACK_MILLISECONDS;
  return Math.min(MAXIMUM_MILLISECONDS, Math.max(1, milliseconds));
}
