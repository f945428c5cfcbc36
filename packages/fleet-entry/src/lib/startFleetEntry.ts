import { setTimeout as sleep } from 'node:timers/promises';
import {
  SystemClock, SystemRandom, SuspendAwareClock, deriveMemoryBudget, onShutdownSignal, type WorkerId,
} from '@dandelionlane/core';
import {
  AnswerMemory, CrashReporter, SpentTimeEstimator, EntryRegistry, ModelTimings, PromptQuarantine, RetryBudget,
  RequestServer, ServingCheck, SlowTargetMonitor, StallDetector, SharedTraffic, TargetConnections,
  TargetPaths, TargetStates, TrafficMeter, AdmissionQueue,
  measureCapacity,
  createDirectoryApplication, createMetricsApplication, createReadinessApplication,
  refusesConnections,
} from '@dandelionlane/gateway';
import { LineWriter, MetricsRegistry, createLog } from '@dandelionlane/telemetry';
import CallerServer from './CallerServer.js';
import ClosedConnections from './ClosedConnections.js';
import type ConnectionLimits from './ConnectionLimits.js';
import Coordinator from './Coordinator.js';
import type EntryRuntime from './EntryRuntime.js';
import type FleetEntryPorts from './FleetEntryPorts.js';
import type FleetEntrySettings from './FleetEntrySettings.js';
import GRACE_MARGIN_MILLISECONDS from './GRACE_MARGIN_MILLISECONDS.js';
import GroupControl from './GroupControl.js';
import QuarantineStore from './QuarantineStore.js';
import StoreBackoff from './StoreBackoff.js';
import createFleetView from './createFleetView.js';
import deriveConnectionLimits from './deriveConnectionLimits.js';
import estimateStallThreshold from './estimateStallThreshold.js';
import leaveGracefully from './leaveGracefully.js';
import listenHono from './listenHono.js';
import logUnhandledErrors from './logUnhandledErrors.js';
import storeBackoffMilliseconds from './storeBackoffMilliseconds.js';

const STANDARD_OUTPUT = 1;

/** Largest slowdown of targets where the settings name none: their speed is not learned. */
const NO_SLOWDOWN = 1;

/** Period of the check for expired registrations, in ms. */
const EXPIRY_PERIOD_MILLISECONDS = 200;

/**
 * Time after SIGTERM during which requests are accepted however long they may take, in ms. Callers
 * cache an answer of the directory for 2 s, and the users' requirements allow a request of the first
 * 3 s to be cut off.
 */
const ACCEPTING_MILLISECONDS = 3_000;

/**
 * Silence of a stream that another entry serves after which a third one is asked beside it, in ms: the other
 * entry itself leaves silent targets sooner.
 */
const PEER_STALL_MILLISECONDS = 1_000;

/** Longest wait for the last lines of the log, in ms, as its reader may be slow. */
const LOG_TIMEOUT_MILLISECONDS = 300;

/** Starts an entry process: the servers, the view of the fleet and the contention for the group control. */
export default function startFleetEntry(settings: FleetEntrySettings, ports: FleetEntryPorts): void {
  const clock = new SystemClock();
  const random = new SystemRandom();
  const metrics = new MetricsRegistry();
  const writer = new LineWriter(STANDARD_OUTPUT);
  const runtime: EntryRuntime = {
    settings,
    ports,
    clock,
    suspendAwareClock: new SuspendAwareClock(clock),
    metrics,
    logFor: (part) => createLog(part, { level: 'info', format: 'json' }, clock, writer),
  };
  const { logFor } = runtime;
  const log = logFor('entry');
  logUnhandledErrors(log);
  const connectionLimits = deriveConnectionLimits(settings.maximumDescriptors);
  const closedAt = (address: string) => new ClosedConnections(address, { log, metrics, clock });

  let isLeaving = false;
  // Declared first, as the registry and the coordinator refer to each other.
  let coordinator: Coordinator;
  let control: GroupControl;
  const store = new StoreBackoff({
    ...ports,
    clock,
    random,
    maximumBackoffMilliseconds: () => storeBackoffMilliseconds(settings, coordinator.isLeading),
    isLeading: () => coordinator.isLeading,
  });
  const view = createFleetView(runtime, store, () => coordinator.isLeading);
  const { configuration, workers } = view;
  const isReady = () => !isLeaving && configuration.table !== null && view.workerRowHandler.isLoaded;
  const connections = new TargetConnections(() => metrics.count('gateway.connections'));
  const paths = new TargetPaths({
    workers,
    probe: (worker, timeoutMilliseconds) => ports.probeWorker(worker, timeoutMilliseconds, null),
    clock,
    random,
    log: logFor('paths'),
    metrics,
  });
  // Connections of before may be dead without a sign of it.
  paths.onLost((service) => workers.ofService(service).forEach(({ worker }) => connections.drop(worker.id)));
  const registry = new EntryRegistry({
    store,
    clock,
    log: logFor('entries'),
    entry: settings.entry,
    zone: settings.zone,
    callerAddress: `${settings.callers.host}:${settings.callers.port}`,
    linkAddress: `${settings.links.host}:${settings.links.port}`,
    processorCores: settings.processorCores,
    capacity: measureCapacity(settings),
    isReady,
    reportedByHolder: () => coordinator.linkedEntries(),
    knownByLinks: () => coordinator.knownEntries(),
    connectedEntries: () => coordinator.connectedEntries(),
    isAwaitingFirstLink: () => coordinator.isAwaitingFirstLink,
    term: () => control.leadership.actingLease()?.fencing ?? null,
    random,
  });
  control = new GroupControl(runtime, {
    store,
    view,
    isLeaving: () => isLeaving,
    holderLiveness: () => coordinator.holderLiveness(),
    linkAgeMilliseconds: () => coordinator.linkAgeMilliseconds(),
    hasStrongerEntry: () => registry.hasStrongerPeer,
    lostServices: () => paths.lostServices,
    random,
  });

  const states = new TargetStates(clock, settings.maximumTargetSlowdown ?? NO_SLOWDOWN);
  const peerStates = new TargetStates(clock);
  workers.onRemoved((worker) => {
    states.drop(worker);
    connections.drop(worker);
  });
  const workerLog = logFor('workers');
  workers.onLeaving((worker) => workerLog.info('Worker is leaving.', { worker }));
  const budget = new RetryBudget(clock, {
    ratio: settings.repeatRatio,
    extra: settings.repeatExtra,
    windowMilliseconds: settings.repeatWindowMilliseconds,
  });
  const quarantine = new PromptQuarantine(clock);
  const crashReporter = new CrashReporter({
    quarantine,
    refusesConnections,
    hasPath: (service) => paths.check(service),
    isRegistered: ({ id, bornAt }) => workers.get(id)?.worker.bornAt === bornAt,
    clock,
    log: logFor('workers'),
    metrics,
  });
  paths.onReturned((service) => void crashReporter.settle(service));
  workers.onRemoved((worker) => crashReporter.settleRemoved(worker));
  const quarantineStore = new QuarantineStore({
    store, quarantine, clock, log: logFor('quarantine'),
  });
  const admissionQueue = new AdmissionQueue(clock, metrics);
  const trafficMeter = new TrafficMeter(clock);
  const sharedTraffic = new SharedTraffic(clock);
  const requests = new RequestServer({
    wire: ports.wire,
    zone: settings.zone,
    configuration,
    workers,
    states,
    quarantine,
    crashReporter,
    connections,
    servingCheck: new ServingCheck({
      report: (worker, timeoutMilliseconds) => ports.workers.report(worker, timeoutMilliseconds),
      probe: ports.probeWorker,
      workers,
      clock,
      log: logFor('workers'),
      metrics,
    }),
    answerMemory: new AnswerMemory({
      log: logFor('requests'), metrics, maximumBytes: deriveMemoryBudget(settings.memoryBytes),
    }),
    paths,
    peers: () => registry.peers(),
    peerStates,
    budget,
    timings: new ModelTimings(),
    spentTimeEstimator: new SpentTimeEstimator(clock),
    admissionQueue,
    trafficMeter,
    sharedTraffic,
    closedZones: () => view.operatorRowHandler.closedZones,
    countEntries: () => registry.count(),
    clock,
    random,
    log: logFor('requests'),
    metrics,
  });
  const stallThreshold = (worker: WorkerId, unreadTokens: number) => (
    estimateStallThreshold(workers.get(worker), configuration.table?.configuration.services, unreadTokens)
  );
  const stallDetector = new StallDetector({ states, clock, stallThreshold });
  const slowTargetMonitor = new SlowTargetMonitor({
    states, clock, log: workerLog, metrics,
  });
  const peerStallDetector = new StallDetector({
    states: peerStates, clock, stallThreshold: () => PEER_STALL_MILLISECONDS,
  });
  coordinator = new Coordinator({
    settings,
    era: ports.era,
    registry,
    states,
    paths,
    quarantine,
    quarantineStore,
    budget,
    admissionQueue,
    trafficMeter,
    sharedTraffic,
    view,
    control,
    isReady,
    serveForwarded: (incoming, outgoing) => void requests.handle(incoming, outgoing, 'entry'),
    stallThreshold,
    maximumLinkConnections: connectionLimits.links,
    closedLinks: closedAt('links'),
    clock,
    random,
    log: logFor('links'),
  });

  ports.era.onRestored(({ from, to }) => {
    log.warn('Store has returned from a copy.', { fromEra: from, toEra: to });
    metrics.count('store.restorations');
    control.handleStoreRestored();
    view.operatorFollower.handleStoreRestored();
    view.workerFollower.handleStoreRestored();
    registry.handleStoreRestored();
    quarantineStore.forgetRows();
  });

  const limitsOf = (address: keyof ConnectionLimits) => ({
    clock, maximumConnections: connectionLimits[address], closed: closedAt(address),
  });
  const callers = new CallerServer(requests, configuration, limitsOf('callers'));
  void callers.listen(settings.callers);
  const directoryApplication = createDirectoryApplication(registry, {
    path: ports.directoryPath, encode: ports.encodeDirectory,
  });
  const servers = [
    listenHono(
      createReadinessApplication(ports.readinessPath, isReady),
      settings.readiness,
      limitsOf('readiness'),
    ),
    listenHono(directoryApplication, settings.directory, limitsOf('directory')),
    listenHono(
      createMetricsApplication(ports.metricsPath, () => metrics.render()),
      settings.metrics,
      limitsOf('metrics'),
    ),
  ];
  // The first link may bring the rows of both tables.
  view.operatorFollower.startPaused();
  view.workerFollower.startPaused();
  control.start();
  coordinator.start();
  registry.start();
  stallDetector.start();
  peerStallDetector.start();
  if (states.conditions.isLearning) {
    slowTargetMonitor.start();
  }
  paths.start();
  const expiryTimer = setInterval(() => workers.expire(), EXPIRY_PERIOD_MILLISECONDS);
  log.info('Entry started.', { entry: settings.entry, zone: settings.zone, bootstrap: settings.bootstrap });

  process.on('SIGHUP', () => log.info('Settings changed; they are read at the next start.'));
  onShutdownSignal(process, async () => {
    isLeaving = true;
    const leavingSince = clock.monotonicMilliseconds();
    log.info('Entry is leaving.', { running: callers.inFlight, connections: callers.open });
    requests.leave({
      acceptsForMilliseconds: ACCEPTING_MILLISECONDS,
      endsInMilliseconds: settings.graceMilliseconds - GRACE_MARGIN_MILLISECONDS,
    });
    await leaveGracefully({
      clock,
      graceMilliseconds: settings.graceMilliseconds,
      callers,
      announce: () => Promise.all([control.release(), registry.announce()]),
      deregister: () => registry.stop(),
    });
    control.stop();
    clearInterval(expiryTimer);
    stallDetector.stop();
    peerStallDetector.stop();
    slowTargetMonitor.stop();
    paths.stop();
    view.operatorFollower.stop();
    view.workerFollower.stop();
    coordinator.stop();
    servers.forEach((server) => server?.close());
    connections.close();
    log.info('Entry stopped.', {
      running: callers.inFlight,
      connections: callers.open,
      milliseconds: Math.round(clock.monotonicMilliseconds() - leavingSince),
    });
    await Promise.race([writer.flush(), sleep(LOG_TIMEOUT_MILLISECONDS)]);
    // Requests that outlast the grace period hold sockets open.
    // eslint-disable-next-line n/no-process-exit -- ends the process while sockets are open
    process.exit(0);
  });
}
