import type { Clock } from '@dandelionlane/core';
import type { RequestServer } from '@dandelionlane/gateway';

/**
 * Time for which a leaving entry serves on although it is idle, in ms: callers keep the answer
 * of the directory for a while.
 */
const SHORTEST_LEAVE_MILLISECONDS = 4_000;

/** Time before the end of the grace period at which the process ends by itself, in ms. */
const GRACE_MARGIN_MILLISECONDS = 500;

const PERIOD_MILLISECONDS = 50;

/** Waits until the requests under way have ended, or the grace period is nearly over. */
export default function leaveGracefully(
  requests: RequestServer,
  graceMilliseconds: number,
  clock: Clock,
): Promise<void> {
  const startedAt = clock.monotonicMilliseconds();
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      const elapsed = clock.monotonicMilliseconds() - startedAt;
      const idle = requests.running === 0 && elapsed >= SHORTEST_LEAVE_MILLISECONDS;
      if (idle || elapsed >= graceMilliseconds - GRACE_MARGIN_MILLISECONDS) {
        clearInterval(timer);
        resolve();
      }
    }, PERIOD_MILLISECONDS);
  });
}
