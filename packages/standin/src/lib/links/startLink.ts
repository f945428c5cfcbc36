import {
  type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import { ServingError } from '@dandelionlane/core';
import { ResultAsync } from 'neverthrow';
import LinkConnection from './LinkConnection.js';
import type LinkHandle from './LinkHandle.js';
import type LinkSettings from './LinkSettings.js';
import type LinkState from './LinkState.js';

const DEFAULT_HOST = '127.0.0.1';

/** The connections of one link. Invariant: all of them are in the link's state. */
class Link {
  readonly #target: string;

  /** Open connections with the addresses that they come from. */
  readonly #connections = new Map<LinkConnection, string>();

  #state: LinkState = 'open';

  readonly #stateOfSource = new Map<string, LinkState>();

  /** Connections that were taken while the link was mute. */
  readonly #muted = new Set<Socket>();

  constructor(target: string) {
    this.#target = target;
  }

  take(near: Socket): void {
    const source = near.remoteAddress ?? '';
    const state = this.#stateOf(source);
    if (state === 'refused') {
      near.destroy();
      return;
    }
    if (state === 'reset' || state === 'established') {
      near.on('error', () => undefined);
      near.resetAndDestroy();
      return;
    }
    if (state === 'mute') {
      near.on('error', () => undefined);
      near.once('close', () => this.#muted.delete(near));
      this.#muted.add(near);
      return;
    }
    const [host, port] = this.#target.split(':');
    const connection = new LinkConnection(
      near,
      connect(Number(port), host),
      () => this.#connections.delete(connection),
    );
    this.#connections.set(connection, source);
    connection.apply(state);
  }

  setState(state: LinkState, source?: string): void {
    if (source === undefined) {
      this.#state = state;
    } else {
      this.#stateOfSource.set(source, state);
    }
    this.#muted.forEach((socket) => socket.destroy());
    [...this.#connections].filter(([, from]) => source === undefined || from === source)
      .forEach(([connection, from]) => connection.apply(this.#stateOf(from)));
  }

  #stateOf(source: string): LinkState {
    const own = this.#stateOfSource.get(source) ?? 'open';
    return own === 'open' ? this.#state : own;
  }
}

function listen(server: Server, { host = DEFAULT_HOST, port = 0 }: LinkSettings): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(`${host}:${(server.address() as AddressInfo).port}`));
  });
}

/**
 * Starts a link: a port that leads to a target and that a test can cut, so that two
 * processes are separated while both go on. Each direction between two processes is
 * a link of its own. Error: `internal` when the port cannot be bound.
 */
export default function startLink(settings: LinkSettings): ResultAsync<LinkHandle, ServingError> {
  const link = new Link(settings.target);
  const server = createServer((socket) => link.take(socket));
  return ResultAsync.fromPromise(
    listen(server, settings),
    (cause) => new ServingError(`cannot listen for ${settings.target}`, { kind: 'internal', cause }),
  ).map((address) => ({
    address,
    setState: (state, source) => link.setState(state, source),
    setListening: (isListening) => new Promise<void>((resolve, reject) => {
      if (isListening === server.listening) {
        resolve();
      } else if (isListening) {
        const [host, port] = address.split(':');
        server.once('error', reject);
        server.listen(Number(port), host, () => resolve());
      } else {
        // Does not wait for the connections that are open.
        server.close();
        resolve();
      }
    }),
    close: () => new Promise<void>((resolve) => {
      server.close(() => resolve());
      link.setState('refused');
    }),
  }));
}
