import { createServer } from 'node:http';
import {
  ControllerId, SystemClock, SystemRandom, WakefulClock, onShutdownSignal, repeatWork, type WorkerId,
} from '@dandelionlane/core';
import {
  ConfigurationHolder, OperatorSink, RowCache, TableFollower, WorkerSink, WorkerTable, quietLimitMilliseconds,
} from '@dandelionlane/fleet';
import {
  EntryRegistry, RepeatBudget, RequestServer, StallDetector, TargetConnections, TargetStates,
  createDirectoryApplication, createMetricsApplication, createReadinessApplication,
} from '@dandelionlane/gateway';
import { GroupController } from '@dandelionlane/groups';
import { LeaseKeeper } from '@dandelionlane/platform';
import { LineWriter, MetricsRegistry, createLog } from '@dandelionlane/telemetry';
import Coordinator from './Coordinator.js';
import type FleetEntryPorts from './FleetEntryPorts.js';
import type FleetEntrySettings from './FleetEntrySettings.js';
import LEASE_SETTINGS from './LEASE_SETTINGS.js';
import Leadership from './Leadership.js';
import leaveGracefully from './leaveGracefully.js';
import listenHono from './listenHono.js';

const STANDARD_OUTPUT = 1;

/** Pause between two answers of the operators' feed, in ms. */
const OPERATOR_PACE_MILLISECONDS = 100;

/** Longest wait for a change of the operators, in ms. */
const OPERATOR_WAIT_MILLISECONDS = 2_000;

/** Longest wait for a change of the workers, in ms: the age of the holder's view is judged by it. */
const WORKER_WAIT_MILLISECONDS = 500;

/** Pause between two answers of the workers' feed, in ms. */
const WORKER_PACE_MILLISECONDS = 150;

/** Pause between two steps of the lease, in ms. */
const LEASE_PERIOD_MILLISECONDS = 450;

/** Such pauses between two steps while the holder is known to live by the link to it. */
const LINKED_LEASE_ROUNDS = 4;

/** Pause between two checks for lapsed registrations, in ms. */
const EXPIRY_PERIOD_MILLISECONDS = 200;

/** Time after the first start of the whole system in which loads of weights are not paced, in ms. */
const BOOTSTRAP_MILLISECONDS = 9_000;

/** Largest head of a request, in bytes: above what configurations allow. */
const MAXIMUM_HEADER_BYTES = 64 * 1_024;

/** Idle time of a caller's connection before a configuration tells it, in ms. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;

/** Starts an entry process: callers, directory, readiness, and the contest for the group control. */
export default function startFleetEntry(settings: FleetEntrySettings, ports: FleetEntryPorts): void {
  const clock = new SystemClock();
  const wakefulClock = new WakefulClock(clock);
  const random = new SystemRandom();
  const metrics = new MetricsRegistry();
  const writer = new LineWriter(STANDARD_OUTPUT);
  const logFor = (part: string) => createLog(part, { level: 'info', format: 'json' }, clock, writer);
  const log = logFor('entry');
  const startedAt = clock.monotonicMilliseconds();

  const configuration = new ConfigurationHolder();
  const workers = new WorkerTable(clock);
  const states = new TargetStates(clock);
  const connections = new TargetConnections(() => metrics.count('gateway.connections'));
  workers.onRemoved((worker) => {
    states.drop(worker);
    connections.drop(worker);
  });
  const operatorSink = new OperatorSink(ports.rows, configuration, logFor('operators'));
  const workerSink = new WorkerSink(ports.rows, workers, logFor('workers'));
  const workerRows = new RowCache(workerSink);
  const operatorFollower = new TableFollower({
    table: ports.rows.operatorTable,
    feed: ports.feed,
    sink: operatorSink,
    clock,
    log: logFor('store'),
    paceMilliseconds: OPERATOR_PACE_MILLISECONDS,
    waitMilliseconds: OPERATOR_WAIT_MILLISECONDS,
  });
  const workerFollower = new TableFollower({
    table: ports.rows.workerTable,
    feed: ports.feed,
    sink: workerRows,
    clock,
    log: logFor('store'),
    paceMilliseconds: WORKER_PACE_MILLISECONDS,
    waitMilliseconds: WORKER_WAIT_MILLISECONDS,
  });

  let leaving = false;
  // eslint-disable-next-line prefer-const -- the registry and the coordinator know each other
  let coordinator: Coordinator;
  const isReady = () => !leaving && configuration.table !== null && workerSink.loaded;
  const registry = new EntryRegistry({
    store: ports.store,
    clock,
    log: logFor('entries'),
    entry: settings.entry,
    zone: settings.zone,
    callerAddress: `${settings.callers.host}:${settings.callers.port}`,
    linkAddress: `${settings.links.host}:${settings.links.port}`,
    isReady,
    linked: () => coordinator.linkedEntries(),
  });

  const lease = new LeaseKeeper({
    store: ports.store,
    clock: wakefulClock,
    controller: ControllerId.parse(settings.entry),
    region: settings.region,
    settings: LEASE_SETTINGS,
  });
  const leadership = new Leadership({
    lease, clock: wakefulClock, isEligible: () => workerSink.loaded && (!leaving || !lease.isInTouch()),
  });
  const controller = new GroupController({
    store: ports.store,
    port: ports.workers,
    workers,
    configuration,
    lease: () => leadership.acting(),
    isStoreInTouch: () => lease.isInTouch(),
    resign: () => leadership.resign(),
    clock: wakefulClock,
    log: logFor('groups'),
    metrics,
    isBootstrapping: () => settings.bootstrap
      && clock.monotonicMilliseconds() - startedAt < BOOTSTRAP_MILLISECONDS,
  });

  const requests = new RequestServer({
    wire: ports.wire,
    zone: settings.zone,
    configuration,
    workers,
    states,
    connections,
    budget: new RepeatBudget(clock, {
      ratio: settings.repeatRatio,
      extra: settings.repeatExtra,
      windowMilliseconds: settings.repeatWindowMilliseconds,
    }),
    closedZones: () => operatorSink.closedZones,
    countEntries: () => registry.count(),
    clock,
    random,
    log: logFor('requests'),
    metrics,
  });
  const server = createServer({
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
    requestTimeout: 0,
  }, (incoming, outgoing) => {
    const limits = configuration.table?.configuration.limits;
    if (limits !== undefined) {
      server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
      server.headersTimeout = limits.headerTimeoutMilliseconds;
    }
    void requests.handle(incoming, outgoing);
  });
  server.listen(settings.callers.port, settings.callers.host);
  const quietLimit = (worker: WorkerId, unreadTokens: number): number => {
    const entry = workers.get(worker);
    const service = entry === undefined
      ? undefined : configuration.table?.configuration.services.get(entry.worker.service);
    return entry === undefined || service === undefined || service.engine === null
      ? Number.POSITIVE_INFINITY
      : quietLimitMilliseconds(service.engine, entry.models[0] ?? null, unreadTokens);
  };
  const stalls = new StallDetector({ states, clock, quietLimit });
  coordinator = new Coordinator({
    settings, registry, states, workers, workerRows, workerFollower, lease, leadership, controller, isReady, quietLimit, clock, log: logFor('links'),
  });
  const servers = [
    listenHono(createReadinessApplication(ports.readinessPath, isReady), settings.readiness),
    listenHono(createDirectoryApplication(registry, {
      path: ports.directoryPath, encode: ports.encodeDirectory,
    }), settings.directory),
    listenHono(createMetricsApplication(ports.metricsPath, () => metrics.render()), settings.metrics),
  ];

  operatorFollower.start();
  workerFollower.start();
  coordinator.start();
  registry.start();
  controller.start();
  stalls.start();
  let leaseRounds = 0;
  const stopLease = repeatWork(async () => {
    leaseRounds += 1;
    const isDue = coordinator.linkedEntries() === null || leaseRounds % LINKED_LEASE_ROUNDS === 0;
    if (!leaving && leadership.mayContend && (isDue || leadership.acting() !== null)) {
      await lease.step();
    }
  }, LEASE_PERIOD_MILLISECONDS);
  const expiry = setInterval(() => workers.expire(), EXPIRY_PERIOD_MILLISECONDS);
  log.info('Entry started.', { entry: settings.entry, zone: settings.zone, bootstrap: settings.bootstrap });

  process.on('unhandledRejection', (cause) => {
    log.error('A promise was rejected without a handler.', { reason: cause instanceof Error ? cause.stack : String(cause) });
  });
  process.on('uncaughtException', (cause) => {
    log.error('An exception was not caught.', { reason: cause.stack });
  });
  process.on('SIGHUP', () => log.info('Settings changed; they are read at the next start.'));
  onShutdownSignal(process, async () => {
    leaving = true;
    log.info('Entry is leaving.', { running: requests.running });
    requests.leave();
    await Promise.all([lease.release(), registry.announce()]);
    await stopLease();
    await leaveGracefully(requests, settings.graceMilliseconds, clock);
    controller.stop();
    clearInterval(expiry);
    stalls.stop();
    operatorFollower.stop();
    workerFollower.stop();
    coordinator.stop();
    await registry.stop();
    servers.forEach((other) => other?.close());
    server.close();
    connections.close();
    log.info('Entry stopped.', { running: requests.running });
    await writer.flush();
    // Requests that outlast the grace period hold sockets open.
    // eslint-disable-next-line n/no-process-exit -- ends the process while sockets are open
    process.exit(0);
  });
}
