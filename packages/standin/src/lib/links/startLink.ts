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

  readonly #connections = new Set<LinkConnection>();

  #state: LinkState = 'open';

  constructor(target: string) {
    this.#target = target;
  }

  take(near: Socket): void {
    if (this.#state === 'refused') {
      near.destroy();
      return;
    }
    const [host, port] = this.#target.split(':');
    const connection = new LinkConnection(
      near,
      connect(Number(port), host),
      () => this.#connections.delete(connection),
    );
    this.#connections.add(connection);
    connection.apply(this.#state);
  }

  setState(state: LinkState): void {
    this.#state = state;
    [...this.#connections].forEach((connection) => connection.apply(state));
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
    setState: (state) => link.setState(state),
    close: () => new Promise<void>((resolve) => {
      server.close(() => resolve());
      link.setState('refused');
    }),
  }));
}
