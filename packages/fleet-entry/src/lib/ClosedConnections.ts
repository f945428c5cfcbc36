import type { Clock, ConnectionPhase } from '@dandelionlane/core';
import type { Log, Metrics } from '@dandelionlane/telemetry';

/** Shortest time between two log lines of an address, in ms: clients may be closed at any rate. */
const LOG_PERIOD_MILLISECONDS = 10_000;

/** Dependencies of `ClosedConnections`. */
interface ClosedConnectionsOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/** Reports the connections that the limits of one address close or refuse. */
export default class ClosedConnections {
  readonly #address: string;

  readonly #options: ClosedConnectionsOptions;

  #closed = 0;

  #loggedAt = Number.NEGATIVE_INFINITY;

  /** @param address What the address is for. */
  constructor(address: string, options: ClosedConnectionsOptions) {
    this.#address = address;
    this.#options = options;
  }

  record(phase: ConnectionPhase | 'refused' | 'pipelining'): void {
    const { log, metrics, clock } = this.#options;
    metrics.count('gateway.connections_closed', 1, [`address:${this.#address}`, `phase:${phase}`]);
    this.#closed += 1;
    const now = clock.monotonicMilliseconds();
    if (now - this.#loggedAt >= LOG_PERIOD_MILLISECONDS) {
      log.warn('Connections are closed, as they exceed the limit.', {
        address: this.#address, phase, closed: this.#closed,
      });
      this.#closed = 0;
      this.#loggedAt = now;
    }
  }
}
