import { createServer } from 'node:http';
import answerJson from './answerJson.js';
import { HOST } from './constants.js';
import listenOn from './listenOn.js';
import readText from './readText.js';
import sleep from './sleep.js';

/** The platform's store (PROTOCOL.md, "The platform's metadata store"). */
export default class Store {
  #rows = new Map();

  #history = [];

  #version = 1;

  #watchers = new Set();

  #server = createServer((incoming, outgoing) => {
    this.#serve(incoming, outgoing).catch(() => outgoing.destroy());
  });

  address = '';

  async start() {
    this.#server.keepAliveTimeout = 30_000;
    this.address = `${HOST}:${await listenOn(this.#server, 0)}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  static #nameOf({ table, part, key }) {
    return JSON.stringify([table, part ?? '', key]);
  }

  /** Writes a row as an operator or a worker does; undefined removes it. */
  put(table, key, value) {
    this.#commit([{
      table, part: '', key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64'),
    }]);
  }

  read(table, key) {
    const row = this.#rows.get(Store.#nameOf({ table, key }));
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  #commit(writes) {
    this.#version += 1;
    writes.forEach((write) => {
      const row = { ...write, part: write.part ?? '', ver: this.#version };
      if (write.value === undefined) {
        this.#rows.delete(Store.#nameOf(write));
        this.#history.push({ ...row, value: undefined, tombstone: true });
      } else {
        this.#rows.set(Store.#nameOf(write), row);
        this.#history.push(row);
      }
    });
    const watchers = [...this.#watchers];
    this.#watchers.clear();
    watchers.forEach((wake) => wake());
  }

  #answer(outgoing, status, value) {
    answerJson(outgoing, status, { ...value, ver: value.ver ?? this.#version, now_ms: Math.round(performance.now()) }, { 'store-era': '1' });
  }

  async #serve(incoming, outgoing) {
    const url = new URL(incoming.url, 'http://store');
    const text = await readText(incoming);
    await sleep(4);
    const query = (name) => url.searchParams.get(name);
    if (url.pathname === '/dandelionlane/rows-tx') {
      const { expected = [], set_keys: writes = [], remove = [] } = JSON.parse(text);
      const current = expected.map((row) => this.#rows.get(Store.#nameOf(row)));
      if (expected.some(({ ver }, index) => (current[index]?.ver ?? 0) !== ver)) {
        this.#answer(outgoing, 412, { rows: current.filter((row) => row !== undefined) });
        return;
      }
      this.#commit([...writes, ...remove.map((row) => ({ ...row, value: undefined }))]);
      this.#answer(outgoing, 200, {});
      return;
    }
    if (url.pathname === '/dandelionlane/rows-get') {
      const from = query('from') ?? '';
      const limit = Math.min(500, Number(query('limit') ?? 500));
      const rows = [...this.#rows.values()]
        .filter((row) => row.table === query('table') && row.part === (query('part') ?? '') && row.key >= from)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      this.#answer(outgoing, 200, { rows: rows.slice(0, limit), truncated: rows.length > limit });
      return;
    }
    if (url.pathname === '/dandelionlane/rows-feed') {
      const after = Number(query('after_revision'));
      const end = performance.now() + Number(query('wait_ms') ?? 0);
      const find = () => this.#history.filter((row) => row.table === query('table') && row.ver > after);
      while (find().length === 0 && performance.now() < end) {
        await Promise.race([new Promise((wake) => {
          this.#watchers.add(wake);
        }), sleep(end - performance.now())]);
      }
      this.#answer(outgoing, 200, { rows: find() });
      return;
    }
    outgoing.writeHead(404).end();
  }
}
