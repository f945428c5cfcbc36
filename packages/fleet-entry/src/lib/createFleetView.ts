import {
  ConfigurationHolder, OperatorRowHandler, RowCache, TableFollower, WorkerRowHandler, WorkerTable,
} from '@dandelionlane/fleet';
import type EntryRuntime from './EntryRuntime.js';
import type FleetView from './FleetView.js';

/** Pause between two answers of the operators' feed, in ms. */
const OPERATOR_PACE_MILLISECONDS = 100;

/** Pause between two answers of the workers' feed, in ms. */
const WORKER_PACE_MILLISECONDS = 150;

/**
 * Pause between two answers of a feed for an entry without a link, in ms: well below the times in
 * which work has to stop going to a worker that leaves and in which a configuration has to be in
 * force. All entries are without a link at times, and each call is priced.
 */
const UNLINKED_PACE_MILLISECONDS = 400;

/** Longest wait for a change of the operators, in ms: the age of the holder's view is judged by it. */
const OPERATOR_WAIT_MILLISECONDS = 500;

/** Longest wait for a change of the workers, in ms: the age of the holder's view is judged by it. */
const WORKER_WAIT_MILLISECONDS = 500;

/**
 * Sets up the view of the fleet; its followers are not started.
 * @param isLeading Whether this process reads the tables for all entries.
 */
export default function createFleetView(
  { ports, clock, logFor }: EntryRuntime,
  isLeading: () => boolean,
): FleetView {
  const configuration = new ConfigurationHolder();
  const workers = new WorkerTable(clock);
  const operatorSink = new OperatorRowHandler(ports.rows, configuration, clock, logFor('operators'));
  const workerSink = new WorkerRowHandler(ports.rows, workers, logFor('workers'));
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
      handler: operatorSink,
      clock,
      log: logFor('store'),
      pollPauseMilliseconds: () => (isLeading() ? OPERATOR_PACE_MILLISECONDS : UNLINKED_PACE_MILLISECONDS),
      waitMilliseconds: OPERATOR_WAIT_MILLISECONDS,
    }),
    workerFollower: new TableFollower({
      table: ports.rows.workerTable,
      feed: ports.feed,
      handler: workerRows,
      clock,
      log: logFor('store'),
      pollPauseMilliseconds: () => (isLeading() ? WORKER_PACE_MILLISECONDS : UNLINKED_PACE_MILLISECONDS),
      waitMilliseconds: WORKER_WAIT_MILLISECONDS,
    }),
  };
}
