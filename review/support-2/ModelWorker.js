import { createServer } from 'node:http';
import answerJson from './answerJson.js';
import { HOST, ZONE } from './constants.js';
import listenOn from './listenOn.js';
import readText from './readText.js';
import Registration from './Registration.js';
import sleep from './sleep.js';

/** A worker that carries out orders and serves streams as the head of a group. */
export default class ModelWorker {
  constructor(fleet, id) {
    this.fleet = fleet;
    this.id = id;
    this.born = Date.now();
    this.sequence = 0;
    this.fence = 0;
    this.highestEpoch = 0;
    this.group = null;
    this.model = null;
    this.lastModel = null;
    this.staged = new Set();
    this.running = 0;
    this.alive = true;
    this.server = createServer((incoming, outgoing) => {
      this.#serve(incoming, outgoing).catch(() => outgoing.destroy());
    });
    this.server.keepAliveTimeout = 10_000;
    this.registration = new Registration(fleet.store, id, () => ({
      service: fleet.service, address: this.address, zone: ZONE, version: 'v1', slots: fleet.slots, state: 'ready', cold_remaining_ms: 0, born: this.born, ...this.#state(),
    }));
  }

  /** Listens, and registers the address: its own, or that of a proxy before it. */
  async start(createProxy) {
    this.address = `${HOST}:${await listenOn(this.server, 0)}`;
    if (createProxy !== null) {
      this.address = await createProxy(this.address);
    }
    this.registration.start();
  }

  stop() {
    this.registration.stop();
    this.server.closeAllConnections();
    this.server.close();
  }

  #state() {
    const { group } = this;
    return {
      stage: 'both',
      domain: 'domain-1',
      models: this.model === null ? [] : [{ name: this.model, version: 1, adapters: [] }],
      staged: [...this.staged],
      group: group === null ? null : {
        name: group.name, epoch: group.epoch, rank: group.rank, state: group.state,
      },
    };
  }

  #setState(group, state) {
    if (this.group === group) {
      this.group.state = state;
      this.registration.beat();
    }
  }

  async #serve(incoming, outgoing) {
    const body = await readText(incoming);
    outgoing.setHeader('dandelionlane-instance-id', this.id);
    const expected = incoming.headers['dandelionlane-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      outgoing.writeHead(421, { 'content-length': 0, 'dandelionlane-not-executed': '1' }).end();
      return;
    }
    if (incoming.url === '/dandelionlane/report') {
      answerJson(outgoing, 200, {
        ...this.#state(),
        busy: false,
        sequence: this.sequence,
        queued: 0,
        running: this.running,
        kv_used: 0,
        kv_total: 1_710_000,
        handles: 0,
        pace: 1,
        born: this.born,
      });
      return;
    }
    if (incoming.url === '/dandelionlane/order') {
      outgoing.writeHead(this.#order(JSON.parse(body)), { 'content-length': 0 }).end();
      return;
    }
    await this.#run(incoming, outgoing);
  }

  #order(order) {
    const { fleet } = this;
    if (order.fencing_token !== undefined) {
      if (order.fencing_token < this.fence) {
        return 412;
      }
      this.fence = order.fencing_token;
    }
    if (order.expected !== undefined && order.expected !== this.sequence) {
      return 409;
    }
    const isOwn = this.group !== null && this.group.name === order.group && this.group.epoch === order.epoch;
    switch (order.operation) {
      case 'join': {
        if (order.epoch < this.highestEpoch) {
          return 412;
        }
        if (isOwn) {
          return JSON.stringify(this.group.members) === JSON.stringify(order.members) ? 200 : 412;
        }
        const profile = fleet.models.find(({ name }) => name === order.model);
        this.sequence += 1;
        this.highestEpoch = order.epoch;
        const group = {
          name: order.group,
          epoch: order.epoch,
          members: order.members,
          rank: order.members.indexOf(this.id),
          state: 'joining',
        };
        const warm = this.staged.has(order.model) ? profile.warm_s * 1_000 : profile.load_s * 1_000;
        const joins = this.lastModel === order.model ? 200 : warm;
        this.group = group;
        this.model = order.model;
        this.lastModel = order.model;
        this.registration.beat();
        setTimeout(() => {
          this.staged = new Set([order.model]);
          this.#setState(group, 'ready');
        }, joins);
        return 202;
      }
      case 'open': {
        if (!isOwn || this.group.rank !== 0) {
          return 409;
        }
        if (this.group.state === 'open') {
          return 200;
        }
        if (this.group.state !== 'ready') {
          return 409;
        }
        this.sequence += 1;
        const { group } = this;
        setTimeout(() => this.#setState(group, 'open'), fleet.formMilliseconds);
        return 202;
      }
      case 'close':
        if (!isOwn) {
          return 409;
        }
        if (this.group.state === 'ready') {
          return 200;
        }
        this.sequence += 1;
        this.#close(this.group, order.strategy === 'cut');
        return 202;
      case 'leave':
        if (!isOwn) {
          return this.group === null ? 200 : 409;
        }
        this.sequence += 1;
        this.group = null;
        this.registration.beat();
        return 200;
      case 'stage':
        this.sequence += 1;
        setTimeout(() => {
          this.staged = new Set([order.model]);
          this.registration.beat();
        }, fleet.models.find(({ name }) => name === order.model).load_s * 1_000);
        return 202;
      default:
        return 400;
    }
  }

  #close(group, isCut) {
    this.#setState(group, 'closing');
    const timer = setInterval(() => {
      if (this.group !== group || this.running === 0 || isCut) {
        clearInterval(timer);
        this.#setState(group, 'ready');
      }
    }, 20);
  }

  async #run(incoming, outgoing) {
    const { fleet } = this;
    const { group } = this;
    const attempt = incoming.headers['dandelionlane-attempt-id'] ?? '';
    outgoing.setHeader('dandelionlane-attempt-id', attempt);
    const isOpen = group !== null && group.rank === 0 && group.state === 'open';
    if (!isOpen || incoming.headers['dandelionlane-model'] !== this.model) {
      const status = group?.rank === 0 ? 503 : 421;
      outgoing.writeHead(status, { 'content-length': 0, 'dandelionlane-not-executed': '1' }).end();
      return;
    }
    this.running += 1;
    let gone = false;
    outgoing.once('close', () => {
      gone = true;
      this.running -= 1;
    });
    if (fleet.answerInTrouble !== null && fleet.isInTrouble(this.id)) {
      fleet.answerInTrouble(outgoing, attempt);
      return;
    }
    const first = Number(incoming.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= fleet.events && !gone; id += 1) {
      await sleep(fleet.gapMilliseconds);
      const stalledAt = performance.now();
      while (!gone && !(this.group === group && fleet.isWhole(this))) {
        if (this.group !== group || performance.now() - stalledAt > fleet.stallMilliseconds) {
          this.#setState(group, 'broken');
          outgoing.destroy();
          return;
        }
        await sleep(20);
      }
      if (!outgoing.headersSent) {
        outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'dandelionlane-server-seal': `${this.id}.${attempt}` });
      }
      outgoing.write(`id: ${id}\ndata: ${attempt}/${id}\n\n`);
    }
    outgoing.end();
  }
}
