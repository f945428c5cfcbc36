import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { AvailabilityZoneId, ServiceId } from '@dandelionlane/core';
import type { OrderStamp, Worker, WorkerOrder } from '@dandelionlane/fleet';
import {
  OPERATOR_ROWS, STAND_IN_STATUSES, encodeReport, encodeAnswerHeaders, encodeWorker, readWorkerCall,
  type WorkerCall,
} from '@dandelionlane/platform-adapter';
import { GroupWorker, startLink, type LinkHandle } from '@dandelionlane/standin';
import SOAK_NAMES from '../SOAK_NAMES.js';
import RecordedRun from '../journal/RecordedRun.js';
import expectedBody from '../journal/expectedBody.js';
import expectedEvent from '../journal/expectedEvent.js';
import type AnswerFault from './AnswerFault.js';
import endWithConnection from './endWithConnection.js';
import GroupStall from './GroupStall.js';
import type SoakWorkerSettings from './SoakWorkerSettings.js';
import writePlainAnswer from './writePlainAnswer.js';

/**
 * Longest time that a join or a close takes, in ms: short, so that many changes fit into a run.
 * Members differ, so that a head may be ready long before the others.
 */
const LONGEST_JOIN_MILLISECONDS = 400;

/** Time between two events of a stream, in ms. */
const EVENT_MILLISECONDS = 20;

/** Mean time that a plain request takes, in ms. */
const PLAIN_MILLISECONDS = 40;

/** Longest time from the beginning of a request that ends its worker to that end, in ms. */
const LONGEST_CRASH_MILLISECONDS = 100;

/** Mean time for which such a worker is away, in ms. */
const RETURN_MILLISECONDS = 2_000;

/** Time after a crash at which the registration lapses, in ms. */
const LAPSE_MILLISECONDS = 700;

/** Time for which a worker that leaves serves on, in ms. */
const LINGER_MILLISECONDS = 4_000;

/** Notes that the worker ends a run early, unless the entry has closed the connection before. */
function noteBroken(run: RecordedRun, outgoing: ServerResponse): void {
  if (!outgoing.destroyed) {
    run.noteBroken(performance.now());
  }
}

/** A back end of the soak behind a link, with the platform's calls. */
export default class SoakWorker {
  answerFault: AnswerFault = 'none';

  readonly #settings: SoakWorkerSettings;

  readonly #member: GroupWorker;

  /** Null for a plain worker. */
  readonly #stall: GroupStall | null;

  #server: Server | null = null;

  #link: LinkHandle | null = null;

  #running = 0;

  #life = 0;

  #closed = false;

  #serverAddress: AddressInfo | null = null;

  constructor(settings: SoakWorkerSettings) {
    this.#settings = settings;
    this.#member = new GroupWorker(settings.id, Date.now());
    this.#stall = settings.groups === null ? null : new GroupStall(settings.groups, this.#member);
    settings.groups?.add(this.#member);
  }

  get id(): string {
    return this.#settings.id;
  }

  get alive(): boolean {
    return this.#member.alive;
  }

  get draining(): boolean {
    return this.#member.draining;
  }

  /** The link that all connections to the worker go over. */
  get link(): LinkHandle {
    if (this.#link === null) {
      throw new Error(`${this.id} is not started`);
    }
    return this.#link;
  }

  async start(): Promise<void> {
    const port = await this.#listen(0);
    this.#link = (await startLink({ target: `127.0.0.1:${port}` }))._unsafeUnwrap();
    this.#register();
  }

  /**
   * Ends without a word; the registration lapses later.
   * @param address What its address then does with connections: refuse them, not answer them, or close them.
   */
  crash(address: 'refusing' | 'mute' | 'closing' = 'refusing'): void {
    this.#life += 1;
    this.#member.alive = false;
    const now = performance.now();
    this.#settings.journal.disturbed(now, [{ kind: 'worker', worker: this.id }])(now);
    this.#server?.closeAllConnections();
    this.#server?.close();
    switch (address) {
      case 'refusing':
        void this.#link?.setListening(false);
        break;
      case 'mute':
        this.#link?.setState('mute');
        break;
      case 'closing':
        // The link takes connections, and ends them as its target refuses them.
        break;
      default:
        address satisfies never;
    }
    const life = this.#life;
    setTimeout(() => {
      if (life === this.#life && !this.#closed) {
        this.#writeRow(null);
      }
    }, LAPSE_MILLISECONDS).unref();
  }

  /** Starts anew under its id and address, and knows nothing of before. */
  async restart(): Promise<void> {
    const port = Number(this.#serverAddress?.port);
    this.#life += 1;
    this.#member.restart(Date.now());
    this.#running = 0;
    this.#stall?.reset();
    await this.#listen(port);
    this.#link?.setState('open');
    await this.#link?.setListening(true);
    this.#register();
  }

  /** Leaves as planned: says so, serves on for a while, and ends. */
  async leave(): Promise<void> {
    this.#member.draining = true;
    this.#register();
    this.#settings.journal.drainedAt.set(this.id, performance.now());
    await sleep(LINGER_MILLISECONDS);
    this.crash();
    this.#writeRow(null);
  }

  /** Writes its registration again, after the store has lost it; that of an ended life lapses again. */
  registerAgain(): void {
    if (this.alive) {
      this.#register();
    } else {
      this.#writeRow(null);
    }
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#life += 1;
    this.#member.alive = false;
    this.#server?.closeAllConnections();
    this.#server?.close();
    await this.#link?.close();
  }

  #listen(port: number): Promise<number> {
    const server = createServer((incoming, outgoing) => {
      this.#serve(incoming, outgoing).catch(() => outgoing.destroy());
    });
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', () => {
        this.#serverAddress = server.address() as AddressInfo;
        resolve(this.#serverAddress.port);
      });
    });
  }

  #register(): void {
    this.#writeRow(encodeWorker(this.#worker()));
  }

  #writeRow(value: object | null): void {
    void this.#settings.tables.write(OPERATOR_ROWS.workerTable, this.id, value);
  }

  #worker(): Worker {
    const {
      service, zone, slots, groups,
    } = this.#settings;
    const worker = this.#member.worker();
    return {
      ...worker,
      service: ServiceId.parse(service),
      address: this.link.address,
      zone: AvailabilityZoneId.parse(zone),
      slots,
      domain: groups === null ? null : worker.domain,
      // A worker that joins a group loads the model that it has staged last.
      models: worker.group === null ? [] : worker.stagedModels,
    };
  }

  async #serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const body = await text(incoming);
    const call = readWorkerCall(this.id, incoming.url ?? '/', incoming.headers, body);
    switch (call.kind) {
      case 'report':
        outgoing.writeHead(STAND_IN_STATUSES.ok, { 'content-type': 'application/json' }).end(encodeReport({
          ...this.#member.report(),
          busy: this.#member.group?.state === 'joining',
          runningRequests: this.#running,
        }));
        return;
      case 'order':
        this.#takeOrder(call.order, call.stamp, outgoing);
        return;
      case 'request':
        await this.#run(call, body, outgoing);
        return;
      case 'misdirected':
        this.#reject(STAND_IN_STATUSES.misdirected, outgoing);
        return;
      case 'malformed':
        outgoing.writeHead(STAND_IN_STATUSES.malformed).end();
        return;
      default:
        call satisfies never;
    }
  }

  // eslint-disable-next-line class-methods-use-this -- one of the answers of a worker
  #reject(status: number, outgoing: ServerResponse): void {
    outgoing.writeHead(status, encodeAnswerHeaders({ kind: 'not-executed' })).end();
  }

  #takeOrder(order: WorkerOrder, stamp: OrderStamp, outgoing: ServerResponse): void {
    const former = this.#member.group === null
      ? null : { group: this.#member.group, members: this.#member.members };
    const outcome = this.#member.take(order, stamp);
    if (outcome === 'begun' && order.kind === 'join') {
      this.#settings.groups?.checkJoin(this.#member, former);
    }
    if (outcome === 'begun') {
      this.#stall?.reset();
      this.#settleLater();
      this.#register();
    }
    outgoing.writeHead(STAND_IN_STATUSES.orders[outcome]).end();
  }

  #settleLater(): void {
    const life = this.#life;
    setTimeout(() => {
      if (life === this.#life && this.#member.alive) {
        this.#member.settle();
        this.#settings.groups?.noteReady(this.#member);
        this.#register();
      }
    }, LONGEST_JOIN_MILLISECONDS * this.#settings.random.next());
  }

  async #run(
    call: Extract<WorkerCall, { kind: 'request' }>,
    body: string,
    outgoing: ServerResponse,
  ): Promise<void> {
    const { groups, slots, journal } = this.#settings;
    const { requestId, team } = call;
    if (this.answerFault === 'mute') {
      return;
    }
    const isHead = groups === null || this.#member.isServing;
    if (!isHead || this.#stall?.isBroken() === true || this.#running >= slots) {
      this.#reject(isHead ? STAND_IN_STATUSES.full : STAND_IN_STATUSES.misdirected, outgoing);
      return;
    }
    groups?.checkRun(this.#member);
    const signature = `${this.id}.${journal.runs.length}`;
    const run = new RecordedRun({
      requestId,
      worker: this.id,
      signature,
      body,
      team,
      startedAt: performance.now(),
    });
    journal.runs.push(run);
    const noteAbandoned = () => run.noteAbandoned(performance.now());
    const { socket } = outgoing;
    // Entries never close only one direction of a connection.
    socket?.once('end', noteAbandoned);
    outgoing.once('close', () => socket?.off('end', noteAbandoned));
    this.#running += 1;
    const life = this.#life;
    if (body === SOAK_NAMES.crashingBody) {
      await this.#crashUnder(run);
      return;
    }
    outgoing.setHeaders(new Map(Object.entries(encodeAnswerHeaders({ kind: 'run', requestId, signature }))));
    await (groups === null ? this.#answerPlain(run, outgoing) : this.#stream(call, run, outgoing));
    if (life === this.#life) {
      this.#running -= 1;
    }
  }

  /** Ends under a run, as some request makes every worker that begins it, and is back after a while. */
  async #crashUnder(run: RecordedRun): Promise<void> {
    const { random } = this.#settings;
    const life = this.#life;
    await sleep(LONGEST_CRASH_MILLISECONDS * random.next());
    if (life === this.#life && this.alive) {
      run.noteBroken(performance.now());
      this.crash();
      await sleep(RETURN_MILLISECONDS * (0.5 + random.next()));
      if (life + 1 === this.#life && !this.#closed) {
        await this.restart();
      }
    }
  }

  /** Draws whether an answer has a length or chunks. */
  #drawsFraming(): boolean {
    const { random, unframedShare } = this.#settings;
    return unframedShare === 0 || random.next() >= unframedShare;
  }

  async #answerPlain(run: RecordedRun, outgoing: ServerResponse): Promise<void> {
    const { requestId } = run;
    await sleep(PLAIN_MILLISECONDS * 2 * this.#settings.random.next());
    const { answerFault } = this;
    if (['cut', 'lost', 'endless', 'interim'].includes(answerFault)) {
      noteBroken(run, outgoing);
    } else {
      run.noteAnswered(performance.now());
    }
    const body = expectedBody({ id: requestId, kind: 'safe', events: 0 });
    const { halfMilliseconds } = this.#settings;
    writePlainAnswer(outgoing, body, { fault: answerFault, framed: this.#drawsFraming(), halfMilliseconds });
  }

  async #stream(
    { requestId, lastEventId }: Extract<WorkerCall, { kind: 'request' }>,
    run: RecordedRun,
    outgoing: ServerResponse,
  ): Promise<void> {
    const events = this.#settings.journal.requests.get(requestId)?.events ?? 0;
    const first = Number(lastEventId ?? 0) + 1;
    if (!this.#drawsFraming()) {
      endWithConnection(outgoing);
    }
    outgoing.writeHead(STAND_IN_STATUSES.ok, { 'content-type': 'text/event-stream' });
    for (let index = first; index <= events; index += 1) {
      await sleep(EVENT_MILLISECONDS);
      while (!outgoing.destroyed && this.#member.alive && this.#stall?.isHeldBack() === true) {
        noteBroken(run, outgoing);
        await sleep(EVENT_MILLISECONDS);
      }
      const event = expectedEvent(requestId, index);
      const isCut = this.answerFault === 'cut' && index === events;
      if (outgoing.destroyed || this.#stall?.isBroken() === true || isCut) {
        noteBroken(run, outgoing);
        outgoing.write(event.slice(0, event.length / 2), () => outgoing.destroy());
        return;
      }
      outgoing.write(event);
    }
    run.noteAnswered(performance.now());
    outgoing.end();
  }
}
