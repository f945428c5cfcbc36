import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { GroupWorker, startLink, type LinkHandle } from '@dandelionlane/standin';
import expectedBody from '../journal/expectedBody.js';
import expectedEvent from '../journal/expectedEvent.js';
import type AnswerFault from './AnswerFault.js';
import type SoakWorkerSettings from './SoakWorkerSettings.js';
import readOrder from './readOrder.js';
import writePlainAnswer from './writePlainAnswer.js';

const TABLE = 'servers';

/**
 * Longest time that a join or a close takes, in ms: short, so that many changes fit into a run.
 * Members differ, so that a head may be ready long before the others.
 */
const LONGEST_JOIN_MILLISECONDS = 400;

/** Time between two events of a stream, in ms. */
const EVENT_MILLISECONDS = 20;

/** Mean time that a plain request takes, in ms. */
const PLAIN_MILLISECONDS = 40;

/** Time for which a group stands still before its head notices, in ms. */
const STALL_MILLISECONDS = 2_000;

/** Time after a crash at which the registration lapses, in ms. */
const LAPSE_MILLISECONDS = 700;

/** Time for which a worker that leaves serves on, in ms. */
const LINGER_MILLISECONDS = 4_000;

const ORDER_STATUSES = {
  done: 200, begun: 202, conflict: 409, fenced: 412, refused: 400,
} as const;

/** A back end of the soak behind a link, with the platform's calls. */
export default class SoakWorker {
  answerFault: AnswerFault = 'none';

  readonly #settings: SoakWorkerSettings;

  readonly #member: GroupWorker;

  #server: Server | null = null;

  #link: LinkHandle | null = null;

  #running = 0;

  #life = 0;

  #stoodStillSince: number | null = null;

  #closed = false;

  constructor(settings: SoakWorkerSettings) {
    this.#settings = settings;
    this.#member = new GroupWorker(settings.id, Date.now());
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

  /** Ends without a word; the registration lapses later. */
  crash(): void {
    this.#life += 1;
    this.#member.alive = false;
    this.#server?.closeAllConnections();
    this.#server?.close();
    const life = this.#life;
    setTimeout(() => {
      if (life === this.#life && !this.#closed) {
        this.#settings.tables.write(TABLE, this.id, null);
      }
    }, LAPSE_MILLISECONDS).unref();
  }

  /** Starts anew under its id and address, and knows nothing of before. */
  async restart(): Promise<void> {
    const port = Number(this.#serverAddress?.port);
    this.#life += 1;
    this.#member.restart(Date.now());
    this.#running = 0;
    this.#stoodStillSince = null;
    await this.#listen(port);
    this.#register();
  }

  /** Leaves as planned: says so, serves on for a while, and ends. */
  async leave(): Promise<void> {
    this.#member.draining = true;
    this.#register();
    this.#settings.journal.drainedAt.set(this.id, performance.now());
    await sleep(LINGER_MILLISECONDS);
    this.crash();
    this.#settings.tables.write(TABLE, this.id, null);
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#life += 1;
    this.#member.alive = false;
    this.#server?.closeAllConnections();
    this.#server?.close();
    await this.#link?.close();
  }

  #serverAddress: AddressInfo | null = null;

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
    const { service, zone, slots } = this.#settings;
    this.#settings.tables.write(TABLE, this.id, {
      service,
      address: this.link.address,
      zone,
      version: 'v1',
      slots,
      state: this.#member.draining ? 'draining' : 'ready',
      cold_remaining_ms: 0,
      sequence: this.#member.sequence,
      ...this.#told(),
    });
  }

  /** What the worker says of itself in its registration and in reports. */
  #told(): object {
    const { group, staged, bornAt } = this.#member;
    // A worker that joins a group loads the model that it has staged last.
    const models = group === null ? [] : staged.map((name) => ({ name, version: 1, adapters: [] }));
    return {
      born: bornAt,
      ...this.#settings.groups === null ? {} : {
        domain: 'domain', staged, group, models,
      },
    };
  }

  async #serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const body = await text(incoming);
    const expected = incoming.headers['dandelionlane-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      outgoing.writeHead(421, { 'dandelionlane-not-executed': '1' }).end();
      return;
    }
    switch (incoming.url) {
      case '/dandelionlane/report':
        outgoing.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({
          stage: 'both',
          busy: this.#member.group?.state === 'joining',
          sequence: this.#member.sequence,
          queued: 0,
          running: this.#running,
          pace: 1,
          ...this.#told(),
        }));
        return;
      case '/dandelionlane/order':
        this.#takeOrder(body, outgoing);
        return;
      default:
        await this.#run(body, incoming, outgoing);
    }
  }

  #takeOrder(body: string, outgoing: ServerResponse): void {
    const { groups } = this.#settings;
    const read = readOrder(JSON.parse(body));
    if (read.isErr() || groups === null) {
      outgoing.writeHead(400).end();
      return;
    }
    const { order, stamp } = read.value;
    const former = this.#member.group === null
      ? null : { group: this.#member.group, members: this.#member.members };
    const outcome = this.#member.take(order, stamp);
    if (outcome === 'begun' && order.kind === 'join') {
      groups.checkJoin(this.#member, former);
    }
    if (outcome === 'begun') {
      this.#stoodStillSince = null;
      this.#settleLater();
      this.#register();
    }
    outgoing.writeHead(ORDER_STATUSES[outcome]).end();
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

  async #run(body: string, incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const { groups, slots, journal } = this.#settings;
    const requestId = String(incoming.headers['dandelionlane-attempt-id'] ?? '');
    if (this.answerFault === 'mute') {
      return;
    }
    const isHead = groups === null || this.#member.isServing;
    if (!isHead || this.#isBroken() || this.#running >= slots) {
      outgoing.writeHead(isHead ? 503 : 421, { 'dandelionlane-not-executed': '1' }).end();
      return;
    }
    groups?.checkRun(this.#member);
    const signature = `${this.id}.${journal.runs.length}`;
    journal.runs.push({
      requestId,
      worker: this.id,
      signature,
      body,
      team: incoming.headers['dandelionlane-tenant'] as string | undefined ?? null,
      startedAt: performance.now(),
    });
    this.#running += 1;
    const life = this.#life;
    outgoing.setHeader('dandelionlane-attempt-id', requestId);
    outgoing.setHeader('dandelionlane-server-seal', signature);
    await (groups === null
      ? this.#answerPlain(requestId, outgoing) : this.#stream(requestId, incoming, outgoing));
    if (life === this.#life) {
      this.#running -= 1;
    }
  }

  async #answerPlain(requestId: string, outgoing: ServerResponse): Promise<void> {
    await sleep(PLAIN_MILLISECONDS * 2 * this.#settings.random.next());
    writePlainAnswer(outgoing, expectedBody({ id: requestId, kind: 'safe', events: 0 }), this.answerFault);
  }

  async #stream(requestId: string, incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const events = this.#settings.journal.requests.get(requestId)?.events ?? 0;
    const first = Number(incoming.headers['last-event-id'] ?? 0) + 1;
    outgoing.writeHead(200, { 'content-type': 'text/event-stream' });
    for (let index = first; index <= events; index += 1) {
      await sleep(EVENT_MILLISECONDS);
      while (!outgoing.destroyed && this.#member.alive && this.#standsStill() && !this.#isBroken()) {
        await sleep(EVENT_MILLISECONDS);
      }
      const event = expectedEvent(requestId, index);
      const isCut = this.answerFault === 'cut' && index === events;
      if (outgoing.destroyed || this.#isBroken() || isCut) {
        outgoing.write(event.slice(0, event.length / 2), () => outgoing.destroy());
        return;
      }
      outgoing.write(event);
    }
    outgoing.end();
  }

  /** Whether nothing moves in the group of this head. */
  #standsStill(): boolean {
    const { group, members } = this.#member;
    const isStill = group !== null && this.#settings.groups?.standsStill({ group, members }) === true;
    this.#stoodStillSince = isStill ? this.#stoodStillSince ?? performance.now() : null;
    return isStill;
  }

  #isBroken(): boolean {
    const isBroken = this.#standsStill()
      && performance.now() - (this.#stoodStillSince ?? Number.POSITIVE_INFINITY) > STALL_MILLISECONDS;
    if (isBroken && this.#member.group !== null) {
      this.#member.group = { ...this.#member.group, state: 'broken' };
    }
    return isBroken;
  }
}
