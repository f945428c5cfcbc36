import type { Clock } from '@dandelionlane/core';
import GRACE_MARGIN_MILLISECONDS from './GRACE_MARGIN_MILLISECONDS.js';

/**
 * Time for which a leaving entry serves on although it is idle, in ms: callers keep the answer
 * of the directory for a while.
 */
const SHORTEST_LEAVE_MILLISECONDS = 4_000;

/** Longest wait for the last call to the store, in ms; what is left of the margin is for the end. */
const WITHDRAWAL_MILLISECONDS = 300;

const PERIOD_MILLISECONDS = 50;

/** How an entry leaves. */
interface LeaveOptions {
  readonly clock: Clock;
  /** Time from the signal until the process is killed, in ms. */
  readonly graceMilliseconds: number;
  /** Requests under way. */
  readonly countInFlight: () => number;
  /** Tells others that this entry leaves. May take long: the store may be away. */
  readonly announce: () => Promise<unknown>;
  /** Removes what others know of this entry. May take long. */
  readonly deregister: () => Promise<unknown>;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/**
 * Leaves within the grace period: waits until the requests under way have ended, or the period is
 * nearly over. Nothing waits for the store longer than the period allows. Never rejects for
 * reasons of the store: `announce` and `withdraw` report their own failures.
 */
export default async function leaveGracefully({
  clock, graceMilliseconds, countInFlight, announce, deregister,
}: LeaveOptions): Promise<void> {
  const startedAt = clock.monotonicMilliseconds();
  const elapsed = () => clock.monotonicMilliseconds() - startedAt;
  const isOver = () => (countInFlight() === 0 && elapsed() >= SHORTEST_LEAVE_MILLISECONDS)
    || elapsed() >= graceMilliseconds - GRACE_MARGIN_MILLISECONDS;
  const announced = announce();
  while (!isOver()) {
    await sleep(PERIOD_MILLISECONDS);
  }
  await Promise.race([announced.then(deregister), sleep(WITHDRAWAL_MILLISECONDS)]);
}
