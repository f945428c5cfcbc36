import { connect, type Socket } from 'node:net';
import type { Clock } from '@dandelionlane/core';

/** Time from the loss of a connection to the end of an answer up to which they count as one event, in ms. */
const SIMULTANEOUS_MILLISECONDS = 50;

/** Age up to which a reset may be that of a target at its limit of connections, in ms. */
const REJECTION_MILLISECONDS = 20;

/** Pause before a lost connection is opened again, in ms; it doubles each time. */
const FIRST_PAUSE_MILLISECONDS = 20;

/**
 * State of a `StandingConnection`. `open`: it is established. `connecting`: it is not yet, or it was
 * rejected. `lost`: it was established, and has just ended with its target.
 */
type StandingState = 'open' | 'connecting' | 'lost';

/**
 * A connection beside an answer, which the system ends with the process of the target. One that the target
 * closes while the answer goes on, as too many or too long idle, is opened again.
 */
export default class StandingConnection {
  readonly #address: string;

  readonly #clock: Clock;

  #socket: Socket;

  /** Monotonic time at which the present connection was established, in ms, or null. */
  #openedAt: number | null = null;

  /** Monotonic time at which the last one ended that was not rejected, in ms. */
  #lostAt = Number.NEGATIVE_INFINITY;

  #pauseMilliseconds = FIRST_PAUSE_MILLISECONDS;

  #timer: NodeJS.Timeout | undefined;

  #isHeld = true;

  /** An end is reported only to those who read. */
  readonly #read = (): void => {
    this.#socket.read();
  };

  /** @param address Host and port. */
  constructor(address: string, clock: Clock) {
    this.#address = address;
    this.#clock = clock;
    this.#socket = this.#open();
  }

  /** Ends the watch and hands the connection over. */
  take(): { readonly state: StandingState; readonly socket: Socket } {
    this.#release();
    const socket = this.#socket;
    socket.off('readable', this.#read);
    if (this.#clock.monotonicMilliseconds() - this.#lostAt <= SIMULTANEOUS_MILLISECONDS) {
      return { state: 'lost', socket };
    }
    return { state: this.#openedAt === null ? 'connecting' : 'open', socket };
  }

  close(): void {
    this.#release();
    this.#socket.destroy();
  }

  #release(): void {
    this.#isHeld = false;
    clearTimeout(this.#timer);
  }

  #open(): Socket {
    const [host = '', port = ''] = this.#address.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true });
    let wasReset = false;
    socket.once('connect', () => {
      this.#openedAt = this.#clock.monotonicMilliseconds();
    });
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('readable', this.#read);
    socket.once('close', () => this.#handleClose(wasReset));
    return socket;
  }

  #handleClose(wasReset: boolean): void {
    if (!this.#isHeld) {
      return;
    }
    const now = this.#clock.monotonicMilliseconds();
    const isRejection = wasReset && now - (this.#openedAt ?? now) <= REJECTION_MILLISECONDS;
    if (this.#openedAt !== null && !isRejection) {
      this.#lostAt = now;
    }
    this.#openedAt = null;
    this.#timer = setTimeout(() => {
      this.#socket = this.#open();
    }, this.#pauseMilliseconds);
    this.#pauseMilliseconds *= 2;
  }
}
