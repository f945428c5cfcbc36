import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type ConnectionPhase from './ConnectionPhase.js';

/** An open connection of a server, with its unfinished requests. */
export default class TrackedConnection {
  readonly socket: Socket;

  /** Monotonic time of the last change between requests, in ms. */
  since: number;

  hadRequest = false;

  /** Bytes that had been read when the last answer was sent; bytes beyond are those of the next head. */
  answeredBytes = 0;

  /** Monotonic time at which a part of the next head was first seen, in ms; null without one. */
  headSince: number | null = null;

  isUpgraded = false;

  /** Its unfinished requests, in order. */
  readonly running = new Set<readonly [IncomingMessage, ServerResponse]>();

  constructor(socket: Socket, since: number) {
    this.socket = socket;
    this.since = since;
  }

  /** Notes at a monotonic time in ms whether a head is unfinished. Returns for how long, in ms. */
  measureHead(now: number): number {
    const isUnfinished = (this.phase === 'new' || this.phase === 'idle')
      && this.socket.bytesRead > this.answeredBytes;
    this.headSince = isUnfinished ? this.headSince ?? now : null;
    return this.headSince === null ? 0 : now - this.headSince;
  }

  get phase(): ConnectionPhase {
    if (this.isUpgraded) {
      return 'upgraded';
    }
    const [first] = this.running;
    if (first === undefined) {
      return this.hadRequest ? 'idle' : 'new';
    }
    const [incoming, outgoing] = first;
    if (outgoing.writableEnded) {
      return 'unread';
    }
    return incoming.complete ? 'serving' : 'receiving';
  }
}
