import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import {
  encodeStoreAnswer, readStoreCall, type StoreAnswer, type StoreCall,
} from '@dandelionlane/platform-adapter';
import type SoakTables from './SoakTables.js';
import type StoreFault from './StoreFault.js';

/** Most rows of one answer. */
const MAXIMUM_ROWS = 500;

/** The platform's store over HTTP, with faults. */
export default class StoreServer {
  fault: StoreFault = 'none';

  readonly #tables: SoakTables;

  readonly #server: Server;

  #commits = 0;

  constructor(tables: SoakTables) {
    this.#tables = tables;
    this.#server = createServer((incoming, outgoing) => {
      this.#serve(incoming, outgoing).catch(() => outgoing.destroy());
    });
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
    const body = await text(incoming);
    if (this.fault === 'silent') {
      return;
    }
    if (this.fault === 'busy') {
      this.#answer(outgoing, { kind: 'unavailable' });
      return;
    }
    const call = readStoreCall(incoming.url ?? '/', body)._unsafeUnwrap();
    if (call === null) {
      outgoing.destroy();
      return;
    }
    const answer = await this.#carryOut(call);
    if (this.#losesAnswer(call)) {
      outgoing.destroy();
    } else {
      this.#answer(outgoing, answer);
    }
  }

  async #carryOut(call: StoreCall): Promise<StoreAnswer> {
    switch (call.kind) {
      case 'read': {
        const { rows } = (await this.#tables.snapshot(call.table))._unsafeUnwrap();
        const found = rows.filter(({ key }) => key >= call.from);
        const limit = call.limit ?? MAXIMUM_ROWS;
        return { kind: 'rows', rows: found.slice(0, limit), truncated: found.length > limit };
      }
      case 'watch':
        return (await this.#tables.changes(call.table, call.after, call.waitMilliseconds))._unsafeUnwrap();
      case 'commit':
        return (await this.#tables.commit(call.transaction))._unsafeUnwrap();
      default:
        return call satisfies never;
    }
  }

  /** A forgetful store loses the answer to every second commit. */
  #losesAnswer({ kind }: StoreCall): boolean {
    this.#commits += kind === 'commit' ? 1 : 0;
    return kind === 'commit' && this.fault === 'forgetful' && this.#commits % 2 === 0;
  }

  #answer(outgoing: ServerResponse, answer: StoreAnswer): void {
    const { status, headers, body } = encodeStoreAnswer(answer, this.#tables);
    outgoing.writeHead(status, headers).end(body);
  }
}
