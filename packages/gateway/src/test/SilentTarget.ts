import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import {
  connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** How a target falls silent: its process is stopped, or the network holds all bytes. */
export type SilenceKind = 'stopped' | 'held';

/** Events of a stream of the target. */
const EVENTS = 20;

/** Program of the target: it prints its port, then a line for each connection and for each request. */
const PROGRAM = `
const { createServer } = require('node:http');
const server = createServer((incoming, outgoing) => {
  console.log('request');
  let size = 0;
  let first = '';
  incoming.on('data', (chunk) => { size += chunk.length; first ||= String(chunk.subarray(0, 6)); });
  incoming.once('end', () => {
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': first === 'stream'
      ? 'text/event-stream' : 'text/plain' });
    if (first !== 'stream') {
      setTimeout(() => outgoing.end(String(size)), 400);
      return;
    }
    let id = 0;
    const timer = setInterval(() => {
      id += 1;
      outgoing.write('id: ' + id + '\\ndata: e' + id + '\\n\\n');
      if (id === ${EVENTS}) {
        clearInterval(timer);
        outgoing.end();
      }
    }, 20);
  });
});
server.keepAliveTimeout = 60_000;
server.on('connection', () => console.log('connection'));
server.listen(0, '127.0.0.1', () => console.log('port ' + server.address().port));
`;

/**
 * A target in a process of its own, behind a link if that is what holds its bytes. Bodies that begin with
 * "stream" get a stream.
 */
export default class SilentTarget {
  /** Whole answer to a stream. */
  static readonly stream = Array.from({ length: EVENTS }, (_, index) => (
    `id: ${index + 1}\ndata: e${index + 1}\n\n`
  )).join('');

  readonly #kind: SilenceKind;

  readonly #process: ChildProcess;

  readonly #port: number;

  readonly #link: Server;

  readonly #sockets = new Set<Socket>();

  /** Requests that it has begun to read. */
  requests = 0;

  /** Connections that it has accepted. */
  connections = 0;

  #isHolding = false;

  private constructor(kind: SilenceKind, process: ChildProcess, port: number) {
    this.#kind = kind;
    this.#process = process;
    this.#port = port;
    process.stdout?.on('data', (lines: Buffer) => {
      this.requests += String(lines).split('request').length - 1;
      this.connections += String(lines).split('connection').length - 1;
    });
    this.#link = createServer((near) => this.#accept(near, connect(port, '127.0.0.1')));
  }

  static async start(kind: SilenceKind): Promise<SilentTarget> {
    const process = spawn(globalThis.process.execPath, ['-e', PROGRAM], { stdio: ['ignore', 'pipe', 'inherit'] });
    const [line] = await once(process.stdout, 'data') as [Buffer];
    const target = new SilentTarget(kind, process, Number(String(line).split(' ')[1]));
    target.#link.listen(0, '127.0.0.1');
    await once(target.#link, 'listening');
    return target;
  }

  /** Host and port that it is reached at. */
  get address(): string {
    return `127.0.0.1:${this.#kind === 'stopped' ? this.#port : (this.#link.address() as AddressInfo).port}`;
  }

  fallSilent(): void {
    if (this.#kind === 'stopped') {
      this.#process.kill('SIGSTOP');
    } else {
      this.#isHolding = true;
      this.#sockets.forEach((socket) => socket.pause());
    }
  }

  goOn(): void {
    if (this.#kind === 'stopped') {
      this.#process.kill('SIGCONT');
    } else {
      this.#isHolding = false;
      this.#sockets.forEach((socket) => socket.resume());
    }
  }

  stop(): void {
    this.#process.kill('SIGKILL');
    this.#sockets.forEach((socket) => socket.destroy());
    this.#link.close();
  }

  #accept(near: Socket, far: Socket): void {
    const pass = (from: Socket, to: Socket) => {
      this.#sockets.add(from);
      from.on('data', (chunk) => {
        if (!to.write(chunk)) {
          from.pause();
          to.once('drain', () => {
            if (!this.#isHolding) {
              from.resume();
            }
          });
        }
      });
      from.once('end', () => to.end());
      from.on('error', () => to.destroy());
      from.once('close', () => this.#sockets.delete(from));
      if (this.#isHolding) {
        from.pause();
      }
    };
    pass(near, far);
    pass(far, near);
  }
}
