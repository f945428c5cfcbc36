import { createServer } from 'node:http';
import { text } from 'node:stream/consumers';
import { AvailabilityZoneId, ServiceId } from '@dandelionlane/core';
import {
  OPERATOR_ROWS, STAND_IN_STATUSES, encodeAnswerHeaders, encodeReport, encodeWorker, readWorkerCall,
} from '@dandelionlane/platform-adapter';
import { GroupWorker } from '@dandelionlane/standin';
import findPort from './findPort.js';

/** Time that a join, an open or a close takes, in ms. */
const SETTLE_MILLISECONDS = 150;

const SLOTS = 18;

/** A worker of the platform. What it answers to a request is up to `serve`. */
export default class StandInWorker {
  #options;

  #member;

  #server;

  #address = '';

  #listeningAt = null;

  /**
   * @param options `tables` of the store, `id`, `service`, `zone`, `hasGroups`, and
   * `serve(call, incoming, outgoing)`, called for each request that it runs; optionally
   * `openProxy(address)`, which resolves to the address by which the worker registers.
   */
  constructor(options) {
    this.#options = options;
    this.#member = new GroupWorker(options.id, Date.now());
    this.#server = this.#createServer();
  }

  get id() {
    return this.#options.id;
  }

  async start() {
    const freePort = await findPort(1);
    await new Promise((resolve) => {
      this.#server.listen(freePort, '127.0.0.1', resolve);
    });
    this.#listeningAt = this.#server.address();
    const address = `127.0.0.1:${this.#listeningAt.port}`;
    this.#address = await this.#options.openProxy?.(address) ?? address;
    await this.register();
  }

  /** Ends without a word, as a crashed process does. Returns whether it was running. */
  crash() {
    const wasRunning = this.#member.alive;
    this.close();
    return wasRunning;
  }

  /** Starts anew at its address under its id, and knows nothing of before. */
  async restart() {
    const { port } = this.#listeningAt;
    this.#member.restart(Date.now());
    this.#server = this.#createServer();
    await new Promise((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
    await this.register();
  }

  async register() {
    const {
      tables, id, service, zone, hasGroups,
    } = this.#options;
    const worker = this.#member.worker();
    await tables.write(OPERATOR_ROWS.workerTable, id, encodeWorker({
      ...worker,
      service: ServiceId.parse(service),
      address: this.#address,
      zone: AvailabilityZoneId.parse(zone),
      slots: SLOTS,
      domain: hasGroups ? worker.domain : null,
      models: worker.group === null ? [] : worker.stagedModels,
    }));
  }

  close() {
    this.#member.alive = false;
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #createServer() {
    return createServer((incoming, outgoing) => {
      this.#handle(incoming, outgoing).catch(() => outgoing.destroy());
    });
  }

  async #handle(incoming, outgoing) {
    const { id, hasGroups, serve } = this.#options;
    const url = incoming.url ?? '/';
    const isOwnCall = url.startsWith('/dandelionlane/');
    const body = isOwnCall ? await text(incoming) : '';
    const call = readWorkerCall(id, url, incoming.headers, body);
    switch (call.kind) {
      case 'report':
        outgoing.writeHead(STAND_IN_STATUSES.ok, { 'content-type': 'application/json' }).end(encodeReport({
          ...this.#member.report(), busy: this.#member.group?.state === 'joining',
        }));
        return;
      case 'order':
        this.#takeOrder(call, outgoing);
        return;
      case 'request':
        if (hasGroups && !this.#member.isServing) {
          this.#reject(outgoing);
          return;
        }
        await serve(call, incoming, outgoing);
        return;
      default:
        this.#reject(outgoing);
    }
  }

  // eslint-disable-next-line class-methods-use-this -- one of the answers of a worker
  #reject(outgoing) {
    outgoing.writeHead(STAND_IN_STATUSES.misdirected, encodeAnswerHeaders({ kind: 'not-executed' })).end();
  }

  #takeOrder({ order, stamp }, outgoing) {
    const outcome = this.#member.take(order, stamp);
    if (outcome === 'begun') {
      setTimeout(() => {
        this.#member.settle();
        void this.register();
      }, SETTLE_MILLISECONDS).unref();
      void this.register();
    }
    outgoing.writeHead(STAND_IN_STATUSES.orders[outcome]).end();
  }
}
