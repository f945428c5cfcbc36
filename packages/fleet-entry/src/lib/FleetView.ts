import type {
  ConfigurationHolder, OperatorSink, RowCache, TableFollower, WorkerSink, WorkerTable,
} from '@dandelionlane/fleet';

/** What an entry knows of the fleet, and what keeps it up to date. */
export default interface FleetView {
  readonly configuration: ConfigurationHolder;
  readonly workers: WorkerTable;
  readonly operatorSink: OperatorSink;
  readonly workerSink: WorkerSink;
  readonly workerRows: RowCache;
  readonly operatorFollower: TableFollower;
  readonly workerFollower: TableFollower;
}
