import type { Clock } from '@dandelionlane/core';

/** Time by which a timer may fire early, in ms: timers count whole milliseconds. */
const TIMER_SLACK_MILLISECONDS = 1;

/** Duration for a timer that does not fire before the given monotonic time, in ms. */
export default function timerUntil(clock: Clock, at: number): number {
  return Math.max(1, Math.ceil(at - clock.monotonicMilliseconds()) + TIMER_SLACK_MILLISECONDS);
}
