import type { Server } from 'node:net';

/** A port that is listened at. */
export default interface ListeningPort {
  readonly server: Server;
  readonly port: number;
}
