import type { Clock } from '@dandelionlane/core';
import type CallerServer from './CallerServer.js';
import GRACE_MARGIN_MILLISECONDS from './GRACE_MARGIN_MILLISECONDS.js';

/**
 * Time for which a leaving entry keeps serving even if it is idle, in ms: callers cache the answer of
 * the directory for a while.
 */
const MINIMUM_LEAVE_MILLISECONDS = 4_000;

/** Longest wait for the last call to the store, in ms. */
const DEREGISTRATION_TIMEOUT_MILLISECONDS = 300;

const POLL_PERIOD_MILLISECONDS = 50;

/** Longest wait for the last answers to be sent, in ms; the rest of the margin is for ending the process. */
const SENDING_MILLISECONDS = 100;

/** Options of `leaveGracefully`. */
interface LeaveOptions {
  readonly clock: Clock;
  /** Time from the signal until the process is killed, in ms. */
  readonly graceMilliseconds: number;
  readonly callers: Pick<CallerServer, 'inFlight' | 'open' | 'stopListening' | 'closeUnused' | 'endAll'>;
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

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(POLL_PERIOD_MILLISECONDS);
  }
}

/** Resolves right after the event loop has read what had arrived on all connections. */
function readArrived(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Leaves within the grace period: serves until no request is in flight and all connections of callers
 * are closed, or until the period is nearly over. Whatever is awaited, requests may begin meanwhile, so the
 * last step looks once more and awaits nothing after that. Never waits for the store beyond the grace
 * period: `announce` and `deregister` report their own failures.
 */
export default async function leaveGracefully({
  clock, graceMilliseconds, callers, announce, deregister,
}: LeaveOptions): Promise<void> {
  const startedAt = clock.monotonicMilliseconds();
  const endsAfterMilliseconds = graceMilliseconds - GRACE_MARGIN_MILLISECONDS;
  const elapsed = () => clock.monotonicMilliseconds() - startedAt;
  const isOver = () => elapsed() >= endsAfterMilliseconds;
  const announced = announce();
  await waitUntil(() => (callers.inFlight === 0 && elapsed() >= MINIMUM_LEAVE_MILLISECONDS)
    || elapsed() >= endsAfterMilliseconds - DEREGISTRATION_TIMEOUT_MILLISECONDS);
  let isDeregistered = false;
  void Promise.race([announced.then(deregister), sleep(DEREGISTRATION_TIMEOUT_MILLISECONDS)]).finally(() => {
    isDeregistered = true;
  });
  await waitUntil(() => (isDeregistered && callers.inFlight === 0) || isOver());
  callers.stopListening();
  do {
    await sleep(POLL_PERIOD_MILLISECONDS);
    await readArrived();
    callers.closeUnused();
  } while (callers.open > 0 && !isOver());
  callers.endAll();
  await waitUntil(() => callers.inFlight === 0 || elapsed() >= endsAfterMilliseconds + SENDING_MILLISECONDS);
  callers.closeUnused();
}
