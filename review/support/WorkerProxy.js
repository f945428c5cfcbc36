import { connect, createServer } from 'node:net';
import findSocketOwner from './findSocketOwner.js';

/** A proxy before a worker that can reset the connections of some processes, and no others. */
export default class WorkerProxy {
  #server;

  #connections = new Map();

  #partitioned = new Set();

  #processIds;

  /** @param processIds Returns the processes that may connect. */
  constructor(target, processIds) {
    this.#processIds = processIds;
    this.#server = createServer({ pauseOnConnect: true }, (near) => {
      near.on('error', () => undefined);
      this.#accept(near, target).catch(() => near.destroy());
    });
  }

  /** Resolves to `host:port`. */
  listen() {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${this.#server.address().port}`));
    });
  }

  /** Resets the connections of a process, and those that it opens from now on. */
  partition(processId) {
    this.#partitioned.add(processId);
    [...this.#connections].filter(([, owner]) => owner === processId)
      .forEach(([near]) => near.resetAndDestroy());
  }

  /** Lets the connections of all processes through again. */
  heal() {
    this.#partitioned.clear();
  }

  close() {
    [...this.#connections.keys()].forEach((near) => near.destroy());
    this.#server.close();
  }

  async #accept(near, target) {
    const owner = await findSocketOwner(near, this.#processIds());
    if (this.#partitioned.has(owner)) {
      near.resetAndDestroy();
      return;
    }
    const [host, port] = target.split(':');
    const far = connect(Number(port), host);
    this.#connections.set(near, owner);
    near.once('close', () => {
      this.#connections.delete(near);
      far.destroy();
    });
    far.on('error', () => near.resetAndDestroy());
    far.pipe(near);
    near.pipe(far);
  }
}
