import { createServer } from 'node:http';
import answerJson from './answerJson.js';
import { HOST, ZONE } from './constants.js';
import listenOn from './listenOn.js';
import readText from './readText.js';
import Registration from './Registration.js';

/**
 * A worker of a service without models. `answer(incoming, outgoing)` writes the answer of a run.
 */
export default class PlainWorker {
  constructor({
    store, id, service, slots = 6, answer,
  }) {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.answer = answer;
    this.running = 0;
    this.born = Date.now();
    this.server = createServer((incoming, outgoing) => {
      this.#serve(incoming, outgoing).catch(() => outgoing.destroy());
    });
    this.server.keepAliveTimeout = 10_000;
    this.registration = new Registration(store, id, () => ({
      service, address: this.address, zone: ZONE, version: 'v1', slots, state: 'ready', cold_remaining_ms: 0, born: this.born,
    }));
  }

  /** Listens, and registers the address: its own, or that of a proxy before it. */
  async start(createProxy = null) {
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

  async #serve(incoming, outgoing) {
    await readText(incoming);
    outgoing.setHeader('dandelionlane-instance-id', this.id);
    const expected = incoming.headers['dandelionlane-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      outgoing.writeHead(421, { 'content-length': 0, 'dandelionlane-not-executed': '1' }).end();
      return;
    }
    if (incoming.url === '/dandelionlane/report') {
      answerJson(outgoing, 200, {
        stage: 'both', models: [], busy: false, sequence: 0, queued: 0, running: this.running, kv_used: 0, kv_total: 0, handles: 0, born: this.born,
      });
      return;
    }
    const attempt = incoming.headers['dandelionlane-attempt-id'];
    outgoing.setHeader('dandelionlane-attempt-id', attempt ?? '');
    outgoing.setHeader('dandelionlane-server-load', `${this.running},0,${this.slots}`);
    this.running += 1;
    outgoing.once('close', () => {
      this.running -= 1;
    });
    await this.answer(incoming, outgoing);
  }
}
