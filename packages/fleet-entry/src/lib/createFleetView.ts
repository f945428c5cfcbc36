import type { TableFeed } from '@dandelionlane/core';
import {
  ConfigurationHolder, OperatorRowHandler, RowCache, TableFollower, WorkerRowHandler, WorkerTable,
} from '@dandelionlane/fleet';
import type EntryRuntime from './EntryRuntime.js';
import type FleetView from './FleetView.js';
import unlinkedPeriodMilliseconds from './unlinkedPeriodMilliseconds.js';

/** Pause between two answers of the operators' feed, in ms. */
const OPERATOR_FEED_PAUSE_MILLISECONDS = 100;

/** Pause between two answers of the workers' feed, in ms. */
const WORKER_FEED_PAUSE_MILLISECONDS = 150;

/** Maximum time between two attempts of a follower, in ms: `StoreBackoff` sends few of them. */
const MAXIMUM_BACKOFF_MILLISECONDS = 200;

/** Longest wait for a change of the operators' table, in ms: bounds the age of the holder's view. */
const OPERATOR_FEED_WAIT_MILLISECONDS = 500;

/** Longest wait for a change of the workers' table, in ms: bounds the age of the holder's view. */
const WORKER_FEED_WAIT_MILLISECONDS = 500;

/**
 * Creates the view of the fleet without starting its followers.
 * @param feed Feed that sends few calls to a store that is away.
 * @param isLeading Whether this process reads the tables for all entries.
 */
export default function createFleetView(
  {
    settings, ports, clock, logFor,
  }: EntryRuntime,
  feed: TableFeed,
  isLeading: () => boolean,
): FleetView {
  const configuration = new ConfigurationHolder();
  const workers = new WorkerTable(clock);
  const operatorRowHandler = new OperatorRowHandler(ports.rows, configuration, clock, logFor('operators'));
  const operatorRows = new RowCache(operatorRowHandler);
  const workerRowHandler = new WorkerRowHandler(ports.rows, workers, logFor('workers'));
  const workerRows = new RowCache(workerRowHandler);
  const maximumBackoffMilliseconds = () => MAXIMUM_BACKOFF_MILLISECONDS;
  const unlinkedPauseMilliseconds = unlinkedPeriodMilliseconds(settings);
  return {
    configuration,
    workers,
    operatorRowHandler,
    operatorRows,
    workerRowHandler,
    workerRows,
    operatorFollower: new TableFollower({
      table: ports.rows.operatorTable,
      feed,
      handler: operatorRows,
      clock,
      log: logFor('store'),
      pollPauseMilliseconds: () => (isLeading()
        ? OPERATOR_FEED_PAUSE_MILLISECONDS : unlinkedPauseMilliseconds),
      maximumBackoffMilliseconds,
      waitMilliseconds: OPERATOR_FEED_WAIT_MILLISECONDS,
    }),
    workerFollower: new TableFollower({
      table: ports.rows.workerTable,
      feed,
      handler: workerRows,
      clock,
      log: logFor('store'),
      pollPauseMilliseconds: () => (isLeading()
        ? WORKER_FEED_PAUSE_MILLISECONDS : unlinkedPauseMilliseconds),
      maximumBackoffMilliseconds,
      waitMilliseconds: WORKER_FEED_WAIT_MILLISECONDS,
    }),
  };
}
