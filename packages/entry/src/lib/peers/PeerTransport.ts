import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Packr } from 'msgpackr';
import { WebSocket, WebSocketServer } from 'ws';
import { SERVER_OPTIONS } from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import decodeEnvelope from './decodeEnvelope.js';
import type PeerEnvelope from './PeerEnvelope.js';

const MAXIMUM_FRAME_BYTES = 32 * 1_024 * 1_024;
const MAXIMUM_BUFFERED_BYTES = 8 * 1_024 * 1_024;
const HANDSHAKE_TIMEOUT_MILLISECONDS = 1_000;
const IDLE_LIMIT_MILLISECONDS = 60_000;

/** Dependencies and settings of a `PeerTransport`. */
interface PeerTransportOptions {
  readonly host: string;
  readonly port: number;
  readonly log: Log;
  /** Called with every well-formed frame. */
  readonly receive: (envelope: PeerEnvelope, reply: (answer: PeerEnvelope) => void) => void;
  /** Called when a connection to `host:port` failed or could not accept a frame. */
  readonly sendFailed: (address: string) => void;
  /** Answers plain HTTP requests on the same port. */
  readonly answerHTTP: RequestListener;
}

/** Exchanges frames between entries over WebSocket. Delivery is at most once: frames may be lost. */
export default class PeerTransport {
  readonly #options: PeerTransportOptions;

  readonly #packr = new Packr({ useRecords: false });

  readonly #connections = new Map<string, WebSocket>();

  readonly #http: Server;

  readonly #server: WebSocketServer;

  constructor(options: PeerTransportOptions) {
    this.#options = options;
    this.#http = createServer(SERVER_OPTIONS, options.answerHTTP);
    this.#server = new WebSocketServer({ server: this.#http, maxPayload: MAXIMUM_FRAME_BYTES });
    this.#server.on('connection', (socket) => this.#attach(socket));
  }

  /** Starts to listen and resolves to the bound port. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#http.once('error', reject);
      this.#http.listen(this.#options.port, this.#options.host, () => {
        resolve((this.#http.address() as AddressInfo).port);
      });
    });
  }

  /** Sends a frame to `host:port`, after connecting if there is no connection. */
  send(address: string, envelope: PeerEnvelope): void {
    const socket = this.#connect(address);
    const frame = this.#packr.pack(envelope);
    if (socket.readyState === WebSocket.OPEN) {
      this.#write(socket, frame, address);
      return;
    }
    socket.once('open', () => this.#write(socket, frame, address));
  }

  async close(): Promise<void> {
    this.#connections.forEach((socket) => socket.terminate());
    this.#server.clients.forEach((socket) => socket.terminate());
    this.#server.close();
    this.#http.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.#http.close(() => resolve());
    });
  }

  #connect(address: string): WebSocket {
    const existing = this.#connections.get(address);
    if (existing !== undefined && existing.readyState <= WebSocket.OPEN) {
      return existing;
    }
    const socket = new WebSocket(`ws://${address}/`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
      maxPayload: MAXIMUM_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.#connections.set(address, socket);
    this.#attach(socket);
    socket.once('close', () => {
      if (this.#connections.get(address) === socket) {
        this.#connections.delete(address);
      }
    });
    socket.once('error', () => this.#options.sendFailed(address));
    return socket;
  }

  #attach(socket: WebSocket): void {
    const idle = setTimeout(() => socket.close(), IDLE_LIMIT_MILLISECONDS);
    idle.unref();
    socket.on('message', (data) => {
      idle.refresh();
      this.#read(socket, data as Buffer);
    });
    socket.on('error', (error) => {
      this.#options.log.debug('Peer connection failed.', { detail: error.message });
    });
    socket.on('close', () => clearTimeout(idle));
  }

  #read(socket: WebSocket, frame: Buffer): void {
    decodeEnvelope(frame).match(
      (envelope) => this.#options.receive(envelope, (answer) => {
        if (socket.readyState === WebSocket.OPEN) {
          socket.send(this.#packr.pack(answer));
        }
      }),
      (error) => this.#options.log.warn('Peer frame refused.', { kind: error.kind, detail: error.message }),
    );
  }

  /** Drops frames for a peer that does not read, which bounds the memory for buffered frames. */
  #write(socket: WebSocket, frame: Buffer, address: string): void {
    if (socket.bufferedAmount > MAXIMUM_BUFFERED_BYTES) {
      this.#options.sendFailed(address);
      return;
    }
    socket.send(frame);
  }
}
