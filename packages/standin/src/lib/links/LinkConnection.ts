import type { Socket } from 'node:net';
import type LinkState from './LinkState.js';

/** One connection over a link: two sockets whose bytes are passed on while the link is open. */
export default class LinkConnection {
  readonly #sockets: readonly [Socket, Socket];

  constructor(near: Socket, far: Socket, onClose: () => void) {
    this.#sockets = [near, far];
    this.#sockets.forEach((socket) => {
      // The peer's error shows as a closed connection on the other side.
      socket.on('error', () => undefined);
      socket.once('close', () => {
        this.destroy();
        onClose();
      });
    });
  }

  apply(state: LinkState): void {
    switch (state) {
      case 'open':
        this.#join();
        return;
      case 'silent':
        this.#part();
        return;
      case 'refused':
        this.destroy();
        return;
      default:
        state satisfies never;
    }
  }

  destroy(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #join(): void {
    const [near, far] = this.#sockets;
    this.#part();
    near.pipe(far);
    far.pipe(near);
  }

  /** Bytes that arrive stay in the socket's buffer, so that none is lost when the link opens again. */
  #part(): void {
    const [near, far] = this.#sockets;
    near.unpipe(far).pause();
    far.unpipe(near).pause();
  }
}
