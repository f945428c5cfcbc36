import {
  ConfigurationHolder, OperatorRowHandler, RowCache, TableFollower, WorkerRowHandler, WorkerTable,
} from '@dandelionlane/fleet';
import type EntryRuntime from './EntryRuntime.js';
import type FleetView from './FleetView.js';

/** Pause between two answers of the operators' feed, in ms. */
const OPERATOR_FEED_PAUSE_MILLISECONDS = 100;

/** Pause between two answers of the workers' feed, in ms. */
const WORKER_FEED_PAUSE_MILLISECONDS = 150;

/**
 * Pause between two answers of a feed for an entry without a link, in ms. Well below the time limits
 * for stopping work to a leaving worker and for putting a configuration into force. Not shorter, as
 * at times all entries are without a link, and each call to the store is billed.
 */
const UNLINKED_FEED_PAUSE_MILLISECONDS = 400;

/** Longest wait for a change of the operators' table, in ms: bounds the age of the holder's view. */
const OPERATOR_FEED_WAIT_MILLISECONDS = 500;

/** Longest wait for a change of the workers' table, in ms: bounds the age of the holder's view. */
const WORKER_FEED_WAIT_MILLISECONDS = 500;

/**
 * Creates the view of the fleet without starting its followers.
 * @param isLeading Whether this process reads the tables for all entries.
 */
export default function createFleetView(
  { ports, clock, logFor }: EntryRuntime,
  isLeading: () => boolean,
): FleetView {
  const configuration = new ConfigurationHolder();
  const workers = new WorkerTable(clock);
  const operatorRowHandler = new OperatorRowHandler(ports.rows, configuration, clock, logFor('operators'));
  const workerRowHandler = new WorkerRowHandler(ports.rows, workers, logFor('workers'));
  const workerRows = new RowCache(workerRowHandler);
  return {
    configuration,
    workers,
    operatorRowHandler,
    workerRowHandler,
    workerRows,
    operatorFollower: new TableFollower({
      table: ports.rows.operatorTable,
      feed: ports.feed,
      handler: operatorRowHandler,
      clock,
      log: logFor('store'),
      pollPauseMilliseconds: () => (isLeading()
        ? OPERATOR_FEED_PAUSE_MILLISECONDS : UNLINKED_FEED_PAUSE_MILLISECONDS),
      waitMilliseconds: OPERATOR_FEED_WAIT_MILLISECONDS,
    }),
    workerFollower: new TableFollower({
      table: ports.rows.workerTable,
      feed: ports.feed,
      handler: workerRows,
      clock,
      log: logFor('store'),
      pollPauseMilliseconds: () => (isLeading()
        ? WORKER_FEED_PAUSE_MILLISECONDS : UNLINKED_FEED_PAUSE_MILLISECONDS),
      waitMilliseconds: WORKER_FEED_WAIT_MILLISECONDS,
    }),
  };
}
