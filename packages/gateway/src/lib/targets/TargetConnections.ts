import type { WorkerId } from '@dandelionlane/core';
import TargetConnection from './TargetConnection.js';

/** Idle connections that are kept for each target. */
const MAXIMUM_IDLE = 16;

/** Connections to all targets. A connection serves one request at a time. */
export default class TargetConnections {
  readonly #idle = new Map<WorkerId, TargetConnection[]>();

  readonly #onOpened: () => void;

  /** @param onOpened Called for each new connection. */
  constructor(onOpened: () => void) {
    this.#onOpened = onOpened;
  }

  /** Returns a connection for one request: an idle one where there is one, unless `isNew`; else a new one. */
  acquire(worker: WorkerId, address: string, isNew: boolean): TargetConnection {
    const idle = this.#idle.get(worker) ?? [];
    const reused = isNew ? undefined : idle.pop();
    if (reused !== undefined) {
      return reused;
    }
    this.#onOpened();
    return new TargetConnection(address, (connection) => this.#remove(worker, connection));
  }

  /** Returns a connection to the pool after a complete exchange. */
  release(worker: WorkerId, connection: TargetConnection): void {
    const idle = this.#idle.get(worker) ?? [];
    if (connection.closed || idle.length >= MAXIMUM_IDLE) {
      connection.destroy();
      return;
    }
    idle.push(connection);
    this.#idle.set(worker, idle);
  }

  /** Closes the idle connections of a target that is gone. */
  drop(worker: WorkerId): void {
    const idle = this.#idle.get(worker) ?? [];
    this.#idle.delete(worker);
    idle.forEach((connection) => connection.destroy());
  }

  /** Closes all idle connections. */
  close(): void {
    [...this.#idle.keys()].forEach((worker) => this.drop(worker));
  }

  #remove(worker: WorkerId, connection: TargetConnection): void {
    const idle = this.#idle.get(worker);
    const index = idle?.indexOf(connection) ?? -1;
    if (idle !== undefined && index >= 0) {
      idle.splice(index, 1);
    }
  }
}
