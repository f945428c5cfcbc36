import type { Clock } from '@dandelionlane/core';
import type CallerServer from './CallerServer.js';
import GRACE_MARGIN_MILLISECONDS from './GRACE_MARGIN_MILLISECONDS.js';

/**
 * Time for which a leaving entry keeps serving even if it is idle, in ms: callers cache the answer of
 * the directory for a while.
 */
const MINIMUM_LEAVE_MILLISECONDS = 4_000;

/** Longest wait for the last call to the store, in ms; the rest of the margin is for ending the process. */
const DEREGISTRATION_TIMEOUT_MILLISECONDS = 300;

const POLL_PERIOD_MILLISECONDS = 50;

/** Options of `leaveGracefully`. */
interface LeaveOptions {
  readonly clock: Clock;
  /** Time from the signal until the process is killed, in ms. */
  readonly graceMilliseconds: number;
  readonly callers: Pick<CallerServer, 'inFlight' | 'stopListening'>;
  /** Announces that this entry is leaving. May take long, as the store may be unavailable. */
  readonly announce: () => Promise<unknown>;
  /** Removes the registration of this entry. May take long, as the store may be unavailable. */
  readonly deregister: () => Promise<unknown>;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/**
 * Leaves within the grace period: waits until the in-flight requests have finished or the period is
 * nearly over. Never waits for the store beyond the grace period, and never rejects because of the
 * store: `announce` and `deregister` report their own failures.
 */
export default async function leaveGracefully({
  clock, graceMilliseconds, callers, announce, deregister,
}: LeaveOptions): Promise<void> {
  const startedAt = clock.monotonicMilliseconds();
  const elapsed = () => clock.monotonicMilliseconds() - startedAt;
  const isOver = () => (callers.inFlight === 0 && elapsed() >= MINIMUM_LEAVE_MILLISECONDS)
    || elapsed() >= graceMilliseconds - GRACE_MARGIN_MILLISECONDS;
  const announced = announce();
  while (!isOver()) {
    await sleep(POLL_PERIOD_MILLISECONDS);
  }
  await Promise.race([announced.then(deregister), sleep(DEREGISTRATION_TIMEOUT_MILLISECONDS)]);
  callers.stopListening();
}
