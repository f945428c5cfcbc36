import type { StoreEra, TableFeed, TableStore } from '@dandelionlane/core';
import type { FleetRowDecoder, WorkerPort } from '@dandelionlane/fleet';
import type { GatewayWire } from '@dandelionlane/gateway';

/** What an entry process needs of the platform it runs on. */
export default interface FleetEntryPorts {
  readonly store: TableStore;
  readonly feed: TableFeed;
  /** Era of the store, as its answers tell. */
  readonly era: StoreEra;
  readonly rows: FleetRowDecoder;
  readonly workers: WorkerPort;
  readonly wire: GatewayWire;
  readonly readinessPath: string;
  readonly directoryPath: string;
  readonly metricsPath: string;
  /** Body of a directory answer, which its caller keeps for some time, in s. */
  readonly encodeDirectory: (addresses: readonly string[], keepSeconds: number) => unknown;
}
