interface BufferedEvent {
  readonly bytes: Buffer;
  readonly isToken: boolean;
}

/** Period at which the replica of a silent stream is looked at. */
const CONFIRMATION_PERIOD_MILLISECONDS = 500;

/** What `HeldEvents` needs from outside. */
interface EventBufferOptions {
  /** Whether the replica is still whole, by sightings made after the call. Null: the events show it. */
  readonly confirm: (() => Promise<boolean>) | null;
  /** Takes events that go to the caller, and how many of them are tokens. */
  readonly write: (bytes: Buffer, tokens: number) => void;
  /** Called once when the replica is no longer whole. */
  readonly onReplicaLost: () => void;
}

/**
 * Events of one attempt that wait until the replica was seen whole after they came.
 * One confirmation is under way at a time and covers all events that came before it.
 *
 * To be closed when the attempt ends.
 *
 * Invariant: no event is written that a later confirmation does not cover, save by `flush`.
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

  /** Begins a confirmation of what is held, unless one is under way. */
  startConfirmation(): void {
    if (this.#pendingConfirmation === null && this.#events.length > 0) {
      this.#confirmNow();
    }
  }

  /** Resolves when no confirmation is under way. */
  async waitForConfirmation(): Promise<void> {
    await this.#pendingConfirmation;
  }

  /** Ends confirmations: one that is under way writes nothing any more. */
  close(): void {
    this.#closed = true;
    clearInterval(this.#timer);
  }

  /** Writes all that is left. To be called only after the replica was checked. */
  flush(): void {
    this.#write(this.#events.length);
  }

  /** Begins a confirmation even if nothing is held, so that a silent target is noticed. */
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
