import { readdir, readFile, readlink } from 'node:fs/promises';
import { connect, createServer } from 'node:net';
import { HOST } from './constants.js';
import listenOn from './listenOn.js';

function toHex(port) {
  return port.toString(16).toUpperCase().padStart(4, '0');
}

/** Inode of the client's end of a loopback channel; null if it has ended. */
async function findInode(clientPort, serverPort) {
  const table = await readFile('/proc/net/tcp', 'utf8');
  const fields = table.split('\n').map((line) => line.trim().split(/\s+/))
    .find(([, local, remote]) => local?.endsWith(`:${toHex(clientPort)}`) && remote?.endsWith(`:${toHex(serverPort)}`));
  return fields?.[9] ?? null;
}

/** Whether a process has the client's end of a channel. */
async function isHeldBy(processId, inode) {
  const folder = `/proc/${processId}/fd`;
  const names = await readdir(folder).catch(() => []);
  const targets = await Promise.all(names.map((name) => readlink(`${folder}/${name}`).catch(() => '')));
  return targets.includes(`socket:[${inode}]`);
}

/**
 * A proxy before a worker, which can cut off one process from it: its open channels are reset, and so is each
 * new one. All other processes still reach the worker.
 */
export default class Gate {
  /** Process that is cut off; null for none. */
  cutProcessId = null;

  resets = 0;

  #channels = new Map();

  /** @param findProcessId Process whose channels are told from others. */
  constructor({ target, findProcessId }) {
    this.target = target;
    this.findProcessId = findProcessId;
    this.server = createServer((socket) => {
      this.#accept(socket).catch(() => socket.destroy());
    });
  }

  async start() {
    this.port = await listenOn(this.server, 0);
    this.address = `${HOST}:${this.port}`;
  }

  /** Cuts a process off, or nobody for null. */
  cut(processId) {
    this.cutProcessId = processId;
    [...this.#channels].filter(([, owner]) => processId !== null && owner === processId)
      .forEach(([socket]) => this.#reset(socket));
  }

  stop() {
    this.server.close();
    [...this.#channels.keys()].forEach((socket) => socket.destroy());
  }

  #reset(socket) {
    this.resets += 1;
    socket.resetAndDestroy();
  }

  async #accept(socket) {
    socket.on('error', () => undefined);
    socket.pause();
    const inode = await findInode(socket.remotePort, this.port);
    const processId = this.findProcessId();
    const owner = inode !== null && await isHeldBy(processId, inode) ? processId : null;
    if (owner !== null && owner === this.cutProcessId) {
      this.#reset(socket);
      return;
    }
    this.#channels.set(socket, owner);
    const [host, port] = this.target.split(':');
    const onward = connect({ host, port: Number(port) });
    onward.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.#channels.delete(socket);
      onward.destroy();
    });
    socket.pipe(onward);
    onward.pipe(socket);
    socket.resume();
  }
}
