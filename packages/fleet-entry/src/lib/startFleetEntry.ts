import {
  SystemClock, SystemRandom, WakefulClock, onShutdownSignal, type WorkerId,
} from '@dandelionlane/core';
import { stallThresholdMilliseconds } from '@dandelionlane/fleet';
import {
  CallerPatience, EntryRegistry, ModelTimings, RepeatBudget, RequestServer, StallDetector, TargetConnections,
  TargetStates, WaitingRoom,
  createDirectoryApplication, createMetricsApplication, createReadinessApplication,
} from '@dandelionlane/gateway';
import { LineWriter, MetricsRegistry, createLog } from '@dandelionlane/telemetry';
import Coordinator from './Coordinator.js';
import type EntryRuntime from './EntryRuntime.js';
import type FleetEntryPorts from './FleetEntryPorts.js';
import type FleetEntrySettings from './FleetEntrySettings.js';
import GRACE_MARGIN_MILLISECONDS from './GRACE_MARGIN_MILLISECONDS.js';
import GroupControl from './GroupControl.js';
import createCallerServer from './createCallerServer.js';
import createFleetView from './createFleetView.js';
import leaveGracefully from './leaveGracefully.js';
import listenHono from './listenHono.js';
import reportFaults from './reportFaults.js';

const STANDARD_OUTPUT = 1;

/** Pause between two checks for lapsed registrations, in ms. */
const EXPIRY_PERIOD_MILLISECONDS = 200;

/**
 * Time after SIGTERM for which requests are accepted whatever they may take, in ms: callers keep
 * an answer of the directory for 2 s, and the users' rules let a request of the first 3 s be cut.
 */
const ACCEPTING_MILLISECONDS = 3_000;

/** Starts an entry process: callers, directory, readiness, and the contest for the group control. */
export default function startFleetEntry(settings: FleetEntrySettings, ports: FleetEntryPorts): void {
  const clock = new SystemClock();
  const random = new SystemRandom();
  const metrics = new MetricsRegistry();
  const writer = new LineWriter(STANDARD_OUTPUT);
  const runtime: EntryRuntime = {
    settings,
    ports,
    clock,
    wakefulClock: new WakefulClock(clock),
    metrics,
    logFor: (part) => createLog(part, { level: 'info', format: 'json' }, clock, writer),
  };
  const { logFor } = runtime;
  const log = logFor('entry');
  reportFaults(log);

  let leaving = false;
  // The registry and the coordinator know each other.
  let coordinator: Coordinator;
  const view = createFleetView(runtime, () => coordinator.isLeading);
  const { configuration, workers } = view;
  const isReady = () => !leaving && configuration.table !== null && view.workerSink.isLoaded;
  const registry = new EntryRegistry({
    store: ports.store,
    clock,
    log: logFor('entries'),
    entry: settings.entry,
    zone: settings.zone,
    callerAddress: `${settings.callers.host}:${settings.callers.port}`,
    linkAddress: `${settings.links.host}:${settings.links.port}`,
    processorCores: settings.processorCores,
    isReady,
    linked: () => coordinator.linkedEntries(),
    attached: () => coordinator.attachedEntries(),
    random,
  });
  const control = new GroupControl(runtime, {
    view,
    isLeaving: () => leaving,
    holderSign: () => coordinator.holderSign(),
    knowsStronger: () => registry.knowsStronger,
    random,
  });

  const states = new TargetStates(clock);
  const connections = new TargetConnections(() => metrics.count('gateway.connections'));
  workers.onRemoved((worker) => {
    states.drop(worker);
    connections.drop(worker);
  });
  const workerLog = logFor('workers');
  workers.onLeaving((worker) => workerLog.info('Worker is leaving.', { worker }));
  const budget = new RepeatBudget(clock, {
    ratio: settings.repeatRatio,
    extra: settings.repeatExtra,
    windowMilliseconds: settings.repeatWindowMilliseconds,
  });
  const waitingRoom = new WaitingRoom(clock);
  const requests = new RequestServer({
    wire: ports.wire,
    zone: settings.zone,
    configuration,
    workers,
    states,
    connections,
    budget,
    timings: new ModelTimings(),
    patience: new CallerPatience(clock),
    waitingRoom,
    closedZones: () => view.operatorSink.closedZones,
    countEntries: () => registry.count(),
    clock,
    random,
    log: logFor('requests'),
    metrics,
  });
  const quietLimit = (worker: WorkerId, unreadTokens: number): number => {
    const entry = workers.get(worker);
    const service = entry === undefined
      ? undefined : configuration.table?.configuration.services.get(entry.worker.service);
    return entry === undefined || service === undefined || service.engine === null
      ? Number.POSITIVE_INFINITY
      : stallThresholdMilliseconds(service.engine, entry.models[0] ?? null, unreadTokens);
  };
  const stalls = new StallDetector({ states, clock, quietLimit });
  coordinator = new Coordinator({
    settings,
    era: ports.era,
    registry,
    states,
    budget,
    waitingRoom,
    view,
    control,
    isReady,
    quietLimit,
    clock,
    random,
    log: logFor('links'),
  });

  ports.era.onRestored(({ from, to }) => {
    log.warn('Store has returned from a copy.', { fromEra: from, toEra: to });
    metrics.count('store.restorations');
    control.restored();
    view.operatorFollower.handleStoreRestored();
    view.workerFollower.handleStoreRestored();
    registry.restored();
  });

  const callers = createCallerServer(requests, configuration);
  callers.listen(settings.callers.port, settings.callers.host);
  const servers = [
    listenHono(createReadinessApplication(ports.readinessPath, isReady), settings.readiness),
    listenHono(createDirectoryApplication(registry, {
      path: ports.directoryPath, encode: ports.encodeDirectory,
    }), settings.directory),
    listenHono(createMetricsApplication(ports.metricsPath, () => metrics.render()), settings.metrics),
  ];
  view.operatorFollower.start();
  view.workerFollower.start();
  coordinator.start();
  registry.start();
  control.start();
  stalls.start();
  const expiry = setInterval(() => workers.expire(), EXPIRY_PERIOD_MILLISECONDS);
  log.info('Entry started.', { entry: settings.entry, zone: settings.zone, bootstrap: settings.bootstrap });

  process.on('SIGHUP', () => log.info('Settings changed; they are read at the next start.'));
  onShutdownSignal(process, async () => {
    leaving = true;
    log.info('Entry is leaving.', { running: requests.running });
    requests.leave({
      acceptsForMilliseconds: ACCEPTING_MILLISECONDS,
      endsInMilliseconds: settings.graceMilliseconds - GRACE_MARGIN_MILLISECONDS,
    });
    await leaveGracefully({
      clock,
      graceMilliseconds: settings.graceMilliseconds,
      running: () => requests.running,
      announce: () => Promise.all([control.release(), registry.announce()]),
      withdraw: () => registry.stop(),
    });
    control.stop();
    clearInterval(expiry);
    stalls.stop();
    view.operatorFollower.stop();
    view.workerFollower.stop();
    coordinator.stop();
    servers.forEach((server) => server?.close());
    callers.close();
    connections.close();
    log.info('Entry stopped.', { running: requests.running });
    await writer.flush();
    // Requests that outlast the grace period hold sockets open.
    // eslint-disable-next-line n/no-process-exit -- ends the process while sockets are open
    process.exit(0);
  });
}
