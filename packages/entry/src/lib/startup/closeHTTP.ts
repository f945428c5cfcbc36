import { setTimeout as delay } from 'node:timers/promises';
import type { Clock, OpenConnections } from '@dandelionlane/core';

const POLL_MILLISECONDS = 20;

/** Options of `closeHTTP`. */
interface CloseOptions {
  readonly clock: Clock;
  /** Time after which connections are closed whose callers do not read their answers, in ms. */
  readonly slowCallerTimeoutMilliseconds: number;
}

/** Stops a server from accepting connections, and resolves when its answers have been sent. */
export default async function closeHTTP(
  connections: OpenConnections,
  { clock, slowCallerTimeoutMilliseconds }: CloseOptions,
): Promise<void> {
  const closesAt = clock.monotonicMilliseconds() + slowCallerTimeoutMilliseconds;
  connections.stopListening();
  connections.closeUnused();
  while (connections.count > 0 && clock.monotonicMilliseconds() < closesAt) {
    await delay(POLL_MILLISECONDS);
    connections.closeUnused();
  }
  connections.closeAll();
}
