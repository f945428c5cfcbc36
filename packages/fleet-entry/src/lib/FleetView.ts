import type {
  ConfigurationHolder, OperatorRowHandler, RowCache, TableFollower, WorkerRowHandler, WorkerTable,
} from '@dandelionlane/fleet';

/** An entry's view of the fleet, with the followers of the tables that keep it up to date. */
export default interface FleetView {
  readonly configuration: ConfigurationHolder;
  readonly workers: WorkerTable;
  readonly operatorRowHandler: OperatorRowHandler;
  readonly operatorRows: RowCache;
  readonly workerRowHandler: WorkerRowHandler;
  readonly workerRows: RowCache;
  readonly operatorFollower: TableFollower;
  readonly workerFollower: TableFollower;
}
