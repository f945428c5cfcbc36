import {
  ConfigurationHolder, OperatorSink, RowCache, TableFollower, WorkerSink, WorkerTable,
} from '@dandelionlane/fleet';
import type EntryRuntime from './EntryRuntime.js';
import type FleetView from './FleetView.js';

/** Pause between two answers of the operators' feed, in ms. */
const OPERATOR_PACE_MILLISECONDS = 100;

/** Longest wait for a change of the operators, in ms. */
const OPERATOR_WAIT_MILLISECONDS = 2_000;

/** Pause between two answers of the workers' feed, in ms. */
const WORKER_PACE_MILLISECONDS = 150;

/** Longest wait for a change of the workers, in ms: the age of the holder's view is judged by it. */
const WORKER_WAIT_MILLISECONDS = 500;

/** Sets up the view of the fleet; its followers are not started. */
export default function createFleetView({ ports, clock, logFor }: EntryRuntime): FleetView {
  const configuration = new ConfigurationHolder();
  const workers = new WorkerTable(clock);
  const operatorSink = new OperatorSink(ports.rows, configuration, logFor('operators'));
  const workerSink = new WorkerSink(ports.rows, workers, logFor('workers'));
  const workerRows = new RowCache(workerSink);
  return {
    configuration,
    workers,
    operatorSink,
    workerSink,
    workerRows,
    operatorFollower: new TableFollower({
      table: ports.rows.operatorTable,
      feed: ports.feed,
      sink: operatorSink,
      clock,
      log: logFor('store'),
      paceMilliseconds: OPERATOR_PACE_MILLISECONDS,
      waitMilliseconds: OPERATOR_WAIT_MILLISECONDS,
    }),
    workerFollower: new TableFollower({
      table: ports.rows.workerTable,
      feed: ports.feed,
      sink: workerRows,
      clock,
      log: logFor('store'),
      paceMilliseconds: WORKER_PACE_MILLISECONDS,
      waitMilliseconds: WORKER_WAIT_MILLISECONDS,
    }),
  };
}
