import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { z } from 'zod';
import type RowTables from './RowTables.js';
import type StoreFault from './StoreFault.js';

const MAXIMUM_ROWS = 500;

const Row = z.object({
  table: z.string(), key: z.string(), ver: z.number().default(0), value: z.string().optional(),
});

const Transaction = z.object({
  expected: z.array(Row).default([]), set_keys: z.array(Row).default([]), remove: z.array(Row).default([]),
});

/** The platform's store over HTTP, with faults. */
export default class StoreServer {
  fault: StoreFault = 'none';

  readonly #tables: RowTables;

  readonly #server: Server;

  #commits = 0;

  constructor(tables: RowTables) {
    this.#tables = tables;
    this.#server = createServer((incoming, outgoing) => void this.#serve(incoming, outgoing));
  }

  /** Resolves to `host:port`. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const url = new URL(incoming.url ?? '/', 'http://store');
    const body = await text(incoming).catch(() => null);
    if (body === null || this.fault === 'silent') {
      return;
    }
    if (this.fault === 'busy') {
      outgoing.writeHead(503).end();
      return;
    }
    switch (url.pathname) {
      case '/dandelionlane/rows-get':
        this.#read(url.searchParams, outgoing);
        return;
      case '/dandelionlane/rows-feed':
        await this.#feed(url.searchParams, outgoing);
        return;
      case '/dandelionlane/rows-tx':
        this.#commit(body, outgoing);
        return;
      default:
        outgoing.writeHead(404).end();
    }
  }

  #read(query: URLSearchParams, outgoing: ServerResponse): void {
    const limit = Number(query.get('limit') ?? MAXIMUM_ROWS);
    const rows = this.#tables.read(query.get('table') ?? '', query.get('from') ?? '', limit + 1);
    this.#answer(outgoing, 200, { rows: rows.slice(0, limit), truncated: rows.length > limit });
  }

  async #feed(query: URLSearchParams, outgoing: ServerResponse): Promise<void> {
    const table = query.get('table') ?? '';
    const after = Number(query.get('after_revision'));
    const until = performance.now() + Number(query.get('wait_ms'));
    let rows = this.#tables.changes(table, after);
    while (rows?.length === 0 && performance.now() < until) {
      await this.#tables.change(until - performance.now());
      rows = this.#tables.changes(table, after);
    }
    this.#answer(outgoing, rows === null ? 410 : 200, { rows: rows ?? [] });
  }

  #commit(body: string, outgoing: ServerResponse): void {
    const parsed = Transaction.safeParse(JSON.parse(body));
    if (!parsed.success) {
      outgoing.writeHead(400).end();
      return;
    }
    const { expected, set_keys: written, remove } = parsed.data;
    const conflict = this.#tables.commit(expected, written, remove);
    this.#commits += 1;
    if (this.fault === 'forgetful' && this.#commits % 2 === 0) {
      outgoing.destroy();
      return;
    }
    this.#answer(outgoing, conflict === null ? 200 : 412, conflict === null ? {} : { rows: conflict });
  }

  #answer(outgoing: ServerResponse, status: number, content: object): void {
    outgoing.writeHead(status, { 'content-type': 'application/json' });
    const now = Math.round(performance.now());
    outgoing.end(JSON.stringify({ ...content, ver: this.#tables.version, now_ms: now }));
  }
}
