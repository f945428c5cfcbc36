import type { Socket } from 'node:net';
import type { StoreEra, TableFeed, TableStore } from '@dandelionlane/core';
import type {
  FleetRowDecoder, ProbeOutcome, Worker, WorkerPort,
} from '@dandelionlane/fleet';
import type { GatewayWire } from '@dandelionlane/gateway';

/** Services and conventions of the platform that an entry process runs on. */
export default interface FleetEntryPorts {
  readonly store: TableStore;
  readonly feed: TableFeed;
  /** Era of the store, as reported by its answers. */
  readonly era: StoreEra;
  readonly rows: FleetRowDecoder;
  readonly workers: WorkerPort;
  /** Asks a worker for a sign of life, over a connection or, for null, a new one. Never rejects. */
  readonly probeWorker: (
    worker: Worker, timeoutMilliseconds: number, connection: Socket | null,
  ) => Promise<ProbeOutcome>;
  readonly wire: GatewayWire;
  readonly readinessPath: string;
  readonly directoryPath: string;
  readonly metricsPath: string;
  /** Creates the body of a directory answer, which callers may cache for `keepSeconds`. */
  readonly encodeDirectory: (addresses: readonly string[], keepSeconds: number) => unknown;
}
