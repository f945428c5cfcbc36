import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
  createServer as createSocketServer, type AddressInfo, type Server as SocketServer, type Socket,
} from 'node:net';
import { ResultAsync, err, ok } from 'neverthrow';
import { request as sendRequest } from 'undici';
import {
  AvailabilityZoneId, EntryId, Epoch,
  FabricDomainId, GroupName, ManualClock, ModelName, PromptPartId, SeededRandom,
  ServiceId, ServingError, SystemClock, WorkerId, type Clock,
} from '@dandelionlane/core';
import {
  ConfigurationHolder, WorkerTable, type FleetConfiguration, type RequestKind, type Worker, type WorkerReport,
} from '@dandelionlane/fleet';
import { MetricsRegistry, type Log } from '@dandelionlane/telemetry';
import ModelTimings from '../lib/choice/ModelTimings.js';
import RetryBudget from '../lib/choice/RetryBudget.js';
import SharedTraffic from '../lib/choice/SharedTraffic.js';
import TrafficMeter from '../lib/choice/TrafficMeter.js';
import type PeerEntry from '../lib/peers/PeerEntry.js';
import TargetPaths from '../lib/paths/TargetPaths.js';
import CrashReporter from '../lib/quarantine/CrashReporter.js';
import PromptQuarantine from '../lib/quarantine/PromptQuarantine.js';
import refusesConnections from '../lib/quarantine/refusesConnections.js';
import SpentTimeEstimator from '../lib/requests/SpentTimeEstimator.js';
import RequestServer from '../lib/requests/RequestServer.js';
import AdmissionQueue from '../lib/requests/AdmissionQueue.js';
import AnswerMemory from '../lib/relay/AnswerMemory.js';
import ServingCheck from '../lib/targets/ServingCheck.js';
import TargetConnections from '../lib/targets/TargetConnections.js';
import type TargetState from '../lib/targets/TargetState.js';
import TargetStates from '../lib/targets/TargetStates.js';
import type GatewayWire from '../lib/wire/GatewayWire.js';
import probeTarget, { PROBE_PATH } from './probeTarget.js';

const SERVICE = ServiceId.parse('model');
const MODEL = ModelName.parse('m');
const ZONE = AvailabilityZoneId.parse('zone');

const LOG: Log = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

/** A wire format with plain header names, in place of the platform's adapter. */
const WIRE: GatewayWire = {
  readCall: (headers) => ({
    requestId: String(headers['x-id'] ?? ''),
    deadlineMilliseconds: Number(headers['x-deadline'] ?? 2_000),
    apiKey: null,
    model: null,
    promptTokens: 10,
    maximumOutputTokens: 10,
    sharedPromptParts: String(headers['x-parts'] ?? '').split(',').filter((part) => part !== '')
      .map((part) => PromptPartId.parse(part)),
    earlierExecutions: Number(headers['x-earlier'] ?? 0),
    mayHaveRun: headers['x-run'] === undefined ? null : headers['x-run'] === '1',
    lastEventId: typeof headers['last-event-id'] === 'string' ? headers['last-event-id'] : null,
  }),
  targetHeaders: (headers, call) => ({
    'x-id': String(headers['x-id'] ?? ''),
    'x-parts': String(headers['x-parts'] ?? ''),
    ...(call.lastEventId === null ? {} : { 'last-event-id': call.lastEventId }),
  }),
  peerHeaders: ({ connection, 'content-length': _length, ...headers }, call) => ({
    ...(headers as Record<string, string>),
    'x-deadline': String(call.deadlineMilliseconds),
    'x-earlier': String(call.earlierExecutions),
    'x-run': call.mayHaveRun ? '1' : '0',
    ...(call.lastEventId === null ? {} : { 'last-event-id': call.lastEventId }),
  }),
  declinedHeaders: { 'x-declined': '1' },
  unframedHeaders: { 'x-unframed': '1' },
  readAnswer: (headers) => ({
    requestId: typeof headers['x-id'] === 'string' ? headers['x-id'] : null,
    signed: headers['x-signed'] !== undefined,
    declined: headers['x-declined'] !== undefined,
    notExecuted: headers['x-not-executed'] !== undefined,
    load: null,
    leaving: headers['x-leaving'] !== undefined,
    retryAfterMilliseconds: headers['x-pause'] === undefined ? null : Number(headers['x-pause']),
    limitRequestsPerSecond: headers['x-limit'] === undefined ? null : Number(headers['x-limit']),
    encoded: false,
    eventStream: String(headers['content-type'] ?? 'text/event-stream').startsWith('text/event-stream'),
    framed: headers['x-unframed'] === undefined
      && (headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined),
    framedByEntry: headers['x-unframed'] !== undefined,
  }),
};

/** Behaviour of one target. */
export type TargetScript = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

/** Answer that a caller received. `cut`: it did not end as complete. */
export interface CallerAnswer {
  readonly status: number;
  readonly body: string;
  readonly cut: boolean;
  readonly retryAfter: string | null;
}

function listen(handler: TargetScript): Promise<Server> {
  return new Promise((resolve) => {
    const server = createServer(handler);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A gateway in front of scripted targets, all over real connections. */
export default class TestGateway {
  readonly states: TargetStates;

  /** Requests that each target has received. */
  readonly received: number[];

  readonly #servers: Server[] = [];

  readonly #targetAddresses: string[] = [];

  readonly #silentServers: SocketServer[] = [];

  readonly #silentSockets: Socket[] = [];

  readonly #connections = new TargetConnections(() => undefined);

  readonly #configuration = new ConfigurationHolder();

  readonly workers: WorkerTable;

  readonly quarantine: PromptQuarantine;

  readonly paths: TargetPaths;

  /** Bound small enough for a test to reach. */
  readonly answerMemory = new AnswerMemory({
    log: LOG, metrics: new MetricsRegistry(), maximumBytes: 20 * 1_024 * 1_024,
  });

  readonly #clock: Clock = new SystemClock();

  readonly #brokenGroups = new Set<string>();

  readonly #peerStates = new TargetStates(this.#clock);

  /** Servers of the gateway itself. */
  readonly #fronts: Server[] = [];

  #address = '';

  #forwardAddress = '';

  /** Entries that it may pass requests on to. */
  peers: readonly PeerEntry[] = [];

  #requests: RequestServer | null = null;

  readonly #admissionQueue = new AdmissionQueue(this.#clock);

  constructor(targets: number) {
    this.states = new TargetStates(this.#clock);
    this.workers = new WorkerTable(this.#clock);
    this.quarantine = new PromptQuarantine(this.#clock);
    this.paths = new TargetPaths({
      workers: this.workers,
      probe: ({ address }, timeoutMilliseconds) => probeTarget(address, timeoutMilliseconds),
      clock: this.#clock,
      random: new SeededRandom(1),
      log: LOG,
      metrics: new MetricsRegistry(),
    });
    this.workers.onRemoved((worker) => {
      this.states.drop(worker);
      this.#connections.drop(worker);
    });
    this.received = Array<number>(targets).fill(0);
  }

  /**
   * Starts a gateway and its targets.
   * @param repeats Budget of repeats, of which nine tenths are used.
   * @param targetLatency Target latency of the route, in ms.
   */
  static async start(
    kind: RequestKind,
    scripts: readonly TargetScript[],
    maximumAttempts = 2,
    repeats = 100,
    targetLatency = 100,
  ): Promise<TestGateway> {
    const gateway = new TestGateway(scripts.length);
    gateway.#configuration.accept(TestGateway.#configure(kind, maximumAttempts, targetLatency));
    await gateway.#start(kind, scripts, repeats);
    return gateway;
  }

  /** Host and port that callers connect to. */
  get address(): string {
    return this.#address;
  }

  /** This gateway as an entry that others may pass requests on to. */
  asPeer(name: string): PeerEntry {
    return {
      entry: EntryId.parse(name),
      ready: true,
      forwardAddress: this.#forwardAddress,
      unreachable: this.paths.lostServices,
    };
  }

  async call(headers: Record<string, string> = {}, body = 'body'): Promise<CallerAnswer> {
    const answer = await sendRequest(`http://${this.#address}/a/b`, {
      method: 'POST', headers: { host: 'h', 'x-id': 'r1', ...headers }, body,
    });
    let received = '';
    try {
      for await (const chunk of answer.body) {
        received += String(chunk);
      }
    } catch {
      return {
        status: answer.statusCode, body: received, cut: true, retryAfter: null,
      };
    }
    const retryAfter = answer.headers['retry-after'];
    return {
      status: answer.statusCode,
      body: received,
      cut: false,
      retryAfter: typeof retryAfter === 'string' ? retryAfter : null,
    };
  }

  /** Puts a changed configuration in force. */
  reconfigure(change: (configuration: FleetConfiguration) => FleetConfiguration): void {
    const { table } = this.#configuration;
    if (table !== null) {
      const { configuration } = table;
      this.#configuration.accept({ ...change(configuration), version: configuration.version + 1 });
    }
  }

  /** Requests of callers in flight. */
  get inFlight(): number {
    return this.#requests?.inFlight ?? 0;
  }

  /** Requests that wait for a target. */
  get waiting(): number {
    return this.#admissionQueue.size;
  }

  /** Removes a target whose registration has ended; it goes on with its requests. */
  removeTarget(index: number): void {
    this.workers.remove(WorkerId.parse(`w${index}`));
  }

  /** Starts the departure of the gateway: see `RequestServer.leave`. */
  leave(acceptsForMilliseconds: number, endsInMilliseconds: number): void {
    this.#requests?.leave({ acceptsForMilliseconds, endsInMilliseconds });
  }

  /** Ends all requests: see `RequestServer.endAll`. */
  endAll(): void {
    this.#requests?.endAll();
  }

  /** Makes a target refuse new connections; those that are open go on. */
  stopListening(index: number): void {
    this.#servers[index]?.close();
  }

  /** Stops a target: connections to it are refused. */
  stopTarget(index: number): void {
    const server = this.#servers[index];
    server?.closeAllConnections();
    server?.close();
  }

  /** Stops a target; its address goes on accepting connections, and does nothing or closes them. */
  async silenceTarget(index: number, closes: boolean): Promise<void> {
    const [, port] = this.targetAddress(index).split(':');
    this.stopTarget(index);
    const server = createSocketServer((socket) => {
      this.#silentSockets.push(socket);
      socket.on('error', () => undefined);
      if (closes) {
        socket.destroy();
      }
    });
    this.#silentServers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(Number(port), '127.0.0.1', resolve);
    });
  }

  /** Address of a target. */
  targetAddress(index: number): string {
    return this.#targetAddresses[index] ?? '';
  }

  /** Makes the head of a group report that it is broken; it goes on listening. */
  breakGroup(index: number): void {
    this.#brokenGroups.add(`w${index}`);
  }

  /** State of another entry as a place to pass requests on to. */
  peerStateOf(name: string): TargetState {
    return this.#peerStates.of(WorkerId.parse(name));
  }

  /** Ends the process of the gateway, as far as callers and other entries can tell. */
  endFront(): void {
    this.#fronts.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }

  /** Starts a stopped target again at its address, as a new process, which registers after a while. */
  restartTarget(index: number, script: TargetScript, registersAfterMilliseconds = 0): void {
    const stopped = this.#servers[index];
    const known = this.workers.get(WorkerId.parse(`w${index}`));
    if (stopped === undefined || known === undefined) {
      return;
    }
    const { worker } = known;
    const server = createServer(script);
    server.listen(Number(this.targetAddress(index).split(':')[1]), '127.0.0.1');
    this.#servers[index] = server;
    const register = () => this.workers.put({ ...worker, bornAt: (worker.bornAt ?? 0) + 1 });
    if (registersAfterMilliseconds === 0) {
      register();
    } else {
      setTimeout(register, registersAfterMilliseconds);
    }
  }

  /** Starts another target at the address of a stopped one, which is still registered there. */
  replaceTarget(index: number, script: TargetScript): void {
    const former = this.workers.get(WorkerId.parse(`w${index}`));
    this.restartTarget(index, script);
    if (former !== undefined) {
      this.workers.put(former.worker);
      const bornAt = (former.worker.bornAt ?? 0) + 1;
      this.workers.put({ ...former.worker, id: WorkerId.parse(`other-${index}`), bornAt });
    }
  }

  stop(): void {
    this.#silentSockets.forEach((socket) => socket.destroy());
    this.#silentServers.forEach((server) => server.close());
    this.#connections.close();
    [...this.#servers, ...this.#fronts].forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }

  async #start(
    kind: RequestKind,
    scripts: readonly TargetScript[],
    repeats: number,
  ): Promise<void> {
    for (const [index, script] of scripts.entries()) {
      const server = await listen((incoming, outgoing) => {
        if (incoming.url === PROBE_PATH) {
          outgoing.writeHead(400).end();
          return;
        }
        this.received[index] = (this.received[index] ?? 0) + 1;
        script(incoming, outgoing);
      });
      this.#servers.push(server);
      this.#targetAddresses.push(addressOf(server));
      this.workers.put(TestGateway.#worker(index, addressOf(server), kind.kind === 'stream'));
    }
    const { quarantine } = this;
    const metrics = new MetricsRegistry();
    const requests = new RequestServer({
      wire: WIRE,
      zone: ZONE,
      configuration: this.#configuration,
      workers: this.workers,
      states: this.states,
      quarantine,
      crashReporter: new CrashReporter({
        quarantine,
        refusesConnections,
        hasPath: (service) => this.paths.check(service),
        isRegistered: ({ id, bornAt }) => this.workers.get(id)?.worker.bornAt === bornAt,
        clock: this.#clock,
        log: LOG,
        metrics,
      }),
      connections: this.#connections,
      servingCheck: new ServingCheck({
        report: (worker) => this.#report(worker),
        probe: ({ address }, timeoutMilliseconds, connection) => (
          probeTarget(address, timeoutMilliseconds, connection)
        ),
        workers: this.workers,
        clock: this.#clock,
        log: LOG,
        metrics,
      }),
      answerMemory: this.answerMemory,
      paths: this.paths,
      peers: () => this.peers,
      peerStates: this.#peerStates,
      budget: new RetryBudget(new ManualClock(), { ratio: 0, extra: repeats, windowMilliseconds: 10_000 }),
      timings: new ModelTimings(),
      spentTimeEstimator: new SpentTimeEstimator(this.#clock),
      admissionQueue: this.#admissionQueue,
      trafficMeter: new TrafficMeter(this.#clock),
      sharedTraffic: new SharedTraffic(this.#clock),
      closedZones: () => new Set(),
      countEntries: () => 1,
      clock: this.#clock,
      random: new SeededRandom(1),
      log: LOG,
      metrics,
    });
    this.#requests = requests;
    const front = await listen((incoming, outgoing) => void requests.handle(incoming, outgoing));
    this.#fronts.push(front);
    this.#address = addressOf(front);
    const side = await listen((incoming, outgoing) => void requests.handle(incoming, outgoing, 'entry'));
    this.#fronts.push(side);
    this.#forwardAddress = addressOf(side);
  }

  /** The report of a target, as one that listens would give it. */
  #report({ id, address, bornAt }: Worker): ResultAsync<WorkerReport, ServingError> {
    const { worker: { group = null } = {} } = this.workers.get(id) ?? {};
    const refused = new ServingError('no report', { kind: 'target-lost' });
    return ResultAsync.fromSafePromise(refusesConnections(address)).andThen((isRefused) => (isRefused
      ? err(refused) : ok({
        bornAt,
        busy: false,
        orderSequence: 0,
        waitingRequests: 0,
        runningRequests: 0,
        slowdown: 1,
        domain: null,
        models: [],
        stagedModels: [],
        group: group === null || !this.#brokenGroups.has(id) ? group : { ...group, state: 'broken' as const },
        leaving: false,
      })));
  }

  static #worker(index: number, address: string, isModel: boolean): Worker {
    return {
      id: WorkerId.parse(`w${index}`),
      service: SERVICE,
      address,
      zone: ZONE,
      domain: FabricDomainId.parse('domain'),
      slots: 4,
      draining: false,
      coldMilliseconds: 0,
      bornAt: 1,
      models: [MODEL],
      stagedModels: [],
      group: isModel ? {
        name: GroupName.parse(`g${index}`), epoch: Epoch.parse(index + 1), rank: 0, state: 'open',
      } : null,
    };
  }

  static #configure(kind: RequestKind, maximumAttempts: number, targetLatency: number): FleetConfiguration {
    return {
      version: 1,
      routes: [{
        name: 'r',
        host: 'h',
        prefix: '/a/',
        request: kind,
        timeoutMilliseconds: 2_000,
        targetLatencyMilliseconds: targetLatency,
        priority: 1,
        maximumAttempts,
        services: [{ service: SERVICE, weight: 1 }],
        anonymous: true,
      }],
      services: new Map([[SERVICE, {
        id: SERVICE,
        maximumConnections: 10,
        coldRequestsPerSecond: 0,
        engine: kind.kind !== 'stream' ? null : {
          slots: 4,
          models: [{
            name: MODEL, groupSize: 1, pace: 1, workShare: 1,
          }],
          loadsPerSecond: 1,
          promptTokensPerSecond: 1_000,
          stepMilliseconds: 1,
          stepMillisecondsPerRequest: 0,
          stepsPerPass: 1,
          reportLagMilliseconds: 0,
        },
      }]]),
      teams: [],
      limits: { maximumBodyBytes: 1_000, headerTimeoutMilliseconds: 1_000, idleTimeoutMilliseconds: 1_000 },
    };
  }
}
