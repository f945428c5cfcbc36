interface BufferedEvent {
  readonly bytes: Buffer;
  readonly isToken: boolean;
}

/** Period at which the replica is checked even if the stream is silent. */
const CONFIRMATION_PERIOD_MILLISECONDS = 500;

/** Dependencies of an `EventBuffer`. */
interface EventBufferOptions {
  /** Checks by reports made after the call that the replica is whole. Null if the events prove it. */
  readonly confirm: (() => Promise<boolean>) | null;
  /** Writes confirmed events to the caller. `tokens` is how many of them are tokens. */
  readonly write: (bytes: Buffer, tokens: number) => void;
  /** Called once, when the replica is no longer whole. */
  readonly onReplicaLost: () => void;
}

/**
 * Buffers the events of one attempt until the replica has been confirmed to be whole after
 * their arrival. One confirmation runs at a time and covers all events that arrived before it.
 *
 * Must be closed when the attempt ends.
 *
 * Invariant: except by `flush`, an event is written only after a confirmation that began after
 * its arrival.
 */
export default class EventBuffer {
  readonly #options: EventBufferOptions;

  #events: BufferedEvent[] = [];

  #bytes = 0;

  #pendingConfirmation: Promise<void> | null = null;

  #closed = false;

  readonly #timer: NodeJS.Timeout;

  constructor(options: EventBufferOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#confirmNow(), CONFIRMATION_PERIOD_MILLISECONDS);
    this.#timer.unref();
  }

  get bytes(): number {
    return this.#bytes;
  }

  add(bytes: Buffer, isToken: boolean): void {
    this.#events.push({ bytes, isToken });
    this.#bytes += bytes.length;
  }

  /** Starts a confirmation of the buffered events, unless there are none or one is running. */
  startConfirmation(): void {
    if (this.#pendingConfirmation === null && this.#events.length > 0) {
      this.#confirmNow();
    }
  }

  /** Resolves when the running confirmation, if any, has ended. */
  async waitForConfirmation(): Promise<void> {
    await this.#pendingConfirmation;
  }

  /** Stops confirmations. One that is running writes nothing any more. */
  close(): void {
    this.#closed = true;
    clearInterval(this.#timer);
  }

  /** Writes all buffered events. Call only after the replica was checked. */
  flush(): void {
    this.#write(this.#events.length);
  }

  /** Starts a confirmation even if the buffer is empty, so that the loss of a silent target is detected. */
  #confirmNow(): void {
    const { confirm } = this.#options;
    if (this.#closed) {
      return;
    }
    if (confirm === null) {
      this.flush();
    } else {
      this.#pendingConfirmation ??= this.#runConfirmation(confirm, this.#events.length);
    }
  }

  async #runConfirmation(confirm: () => Promise<boolean>, count: number): Promise<void> {
    const isConfirmed = await confirm();
    this.#pendingConfirmation = null;
    if (this.#closed) {
      return;
    }
    if (!isConfirmed) {
      this.close();
      this.#options.onReplicaLost();
      return;
    }
    this.#write(count);
    this.startConfirmation();
  }

  #write(count: number): void {
    if (count === 0) {
      return;
    }
    const events = this.#events.splice(0, count);
    const [first] = events;
    const bytes = events.length === 1 && first !== undefined
      ? first.bytes
      : Buffer.concat(events.map((event) => event.bytes));
    this.#bytes -= bytes.length;
    this.#options.write(bytes, events.filter(({ isToken }) => isToken).length);
  }
}
