import type { Socket } from 'node:net';
import type LinkState from './LinkState.js';
import LinkGate from './LinkGate.js';

/** Delay of a slow link, in ms. */
const DELAY_MILLISECONDS = 80;

/** One connection over a link: two sockets whose bytes are passed on, both ways, as the link's state says. */
export default class LinkConnection {
  readonly #sockets: readonly [Socket, Socket];

  readonly #there = new LinkGate();

  readonly #back = new LinkGate();

  constructor(near: Socket, far: Socket, onClose: () => void) {
    this.#sockets = [near, far];
    near.pipe(this.#there).pipe(far);
    far.pipe(this.#back).pipe(near);
    this.#sockets.forEach((socket) => {
      // The peer's error shows as a closed connection on the other side.
      socket.on('error', () => undefined);
      socket.once('close', () => {
        if (!socket.readableEnded) {
          this.destroy();
        }
        if (near.closed && far.closed) {
          onClose();
        }
      });
    });
  }

  apply(state: LinkState): void {
    switch (state) {
      case 'open':
      case 'established':
      case 'mute':
        this.#there.pass(0);
        this.#back.pass(0);
        return;
      case 'silent':
        this.#there.hold();
        this.#back.hold();
        return;
      case 'one-way':
        this.#there.hold();
        this.#back.pass(0);
        return;
      case 'slow':
        this.#there.pass(DELAY_MILLISECONDS);
        this.#back.pass(DELAY_MILLISECONDS);
        return;
      case 'refused':
        this.destroy();
        return;
      case 'reset':
        this.#sockets.forEach((socket) => socket.resetAndDestroy());
        this.destroy();
        return;
      default:
        state satisfies never;
    }
  }

  destroy(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#there.destroy();
    this.#back.destroy();
  }
}
