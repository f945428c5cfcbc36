import type {
  ConfigurationHolder, OperatorRowHandler, RowCache, TableFollower, WorkerRowHandler, WorkerTable,
} from '@dandelionlane/fleet';

/** What an entry knows of the fleet, and what keeps it up to date. */
export default interface FleetView {
  readonly configuration: ConfigurationHolder;
  readonly workers: WorkerTable;
  readonly operatorSink: OperatorRowHandler;
  readonly workerSink: WorkerRowHandler;
  readonly workerRows: RowCache;
  readonly operatorFollower: TableFollower;
  readonly workerFollower: TableFollower;
}
