/**
 * Kind of what is held: an unfinished body, a body that has been received whole, an answer that is being
 * received, or one that has been sent and waits to be read.
 */
type HoldingKind = 'unfinished-body' | 'body' | 'answer' | 'unread-answer';

/** Bytes that a request holds. */
interface Holding {
  kind: HoldingKind;
  bytes: number;
  /** Ends what holds the bytes. Called at most once, after the bytes no longer count. */
  readonly giveUp: () => void;
}

/** Bodies of the largest allowed size that have to fit into the bound. */
const BODIES_WITHIN_BOUND = 2;

/**
 * Bounds the bytes that all requests of an entry hold together: bodies, answers, and what slow readers leave
 * unread. Beyond the bound unfinished bodies are given up, the one that has been stalled longest first, as
 * their requests have not run; then answers that have been sent and are not read, the oldest first; then the
 * largest answer. A body that is whole is never given up, the one that arrives only after unread answers.
 */
export default class MemoryBudget {
  #maximumBytes: number;

  /** In the order of their last progress. */
  readonly #unfinished = new Set<Holding>();

  readonly #answers = new Set<Holding>();

  /** In the order in which they were sent. */
  readonly #unreadAnswers = new Set<Holding>();

  readonly #bodies = new Set<Holding>();

  #newest: Holding | null = null;

  #bytes = 0;

  /** Bytes of unfinished bodies and unread answers, which are given up for others. */
  #yieldingBytes = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Bytes that may be held. */
  get maximumBytes(): number {
    return this.#maximumBytes;
  }

  /** Raises the bound so far that a body of the largest allowed size is served with its answer. */
  allowBody(maximumBodyBytes: number): void {
    this.#maximumBytes = Math.max(this.#maximumBytes, BODIES_WITHIN_BOUND * maximumBodyBytes);
  }

  /** Bytes that are held. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether a body of a length can be held, when unfinished ones and unread answers are given up for it. */
  hasRoomFor(bytes: number): boolean {
    return this.#bytes - this.#yieldingBytes + bytes <= this.#maximumBytes;
  }

  /** Adds an unfinished body or an answer that holds nothing yet. */
  add(kind: 'unfinished-body' | 'answer', giveUp: () => void): Holding {
    const holding = { kind, bytes: 0, giveUp };
    this.#setOf(kind).add(holding);
    return holding;
  }

  /** Records the bytes that are held now, unless the holding has been given up or removed. */
  record(held: Holding, bytes: number): void {
    const holding = held;
    if (!this.#setOf(holding.kind).has(holding)) {
      return;
    }
    this.#count(holding, bytes - holding.bytes);
    holding.bytes = bytes;
    if (holding.kind === 'unfinished-body' && this.#newest !== holding) {
      this.#unfinished.delete(holding);
      this.#unfinished.add(holding);
      this.#newest = holding;
    }
    while (this.#bytes > this.#maximumBytes && this.#giveUpOne()) {
      // Each turn gives up one holding.
    }
  }

  /** Records that a body has been received whole, and the bytes that it holds now. */
  finishBody(held: Holding, bytes: number): void {
    const holding = held;
    if (this.#unfinished.has(holding)) {
      this.remove(holding);
      holding.kind = 'body';
      holding.bytes = 0;
      this.#bodies.add(holding);
      this.record(holding, bytes);
    }
  }

  /** Records that an answer has been sent whole, and holds its bytes until it has been read. */
  finishAnswer(held: Holding): void {
    const holding = held;
    if (this.#answers.delete(holding)) {
      holding.kind = 'unread-answer';
      this.#unreadAnswers.add(holding);
      this.#yieldingBytes += holding.bytes;
    }
  }

  /** Removes what holds nothing any more. */
  remove(holding: Holding): void {
    if (this.#setOf(holding.kind).delete(holding)) {
      this.#count(holding, -holding.bytes);
      this.#newest = this.#newest === holding ? null : this.#newest;
    }
  }

  #count({ kind }: Holding, bytes: number): void {
    this.#bytes += bytes;
    this.#yieldingBytes += kind === 'unfinished-body' || kind === 'unread-answer' ? bytes : 0;
  }

  #setOf(kind: HoldingKind): Set<Holding> {
    switch (kind) {
      case 'unfinished-body':
        return this.#unfinished;
      case 'body':
        return this.#bodies;
      case 'answer':
        return this.#answers;
      case 'unread-answer':
        return this.#unreadAnswers;
      default:
        return kind satisfies never;
    }
  }

  /** Returns false where nothing is left that may be given up. */
  #giveUpOne(): boolean {
    const [unread = null] = this.#unreadAnswers;
    const given = this.#stalledLongest(this.#newest) ?? unread ?? this.#stalledLongest(null)
      ?? this.#largestAnswer();
    if (given === null) {
      return false;
    }
    this.remove(given);
    given.giveUp();
    return true;
  }

  /** Unfinished bodies without bytes are left, as ending them frees nothing. */
  #stalledLongest(except: Holding | null): Holding | null {
    for (const holding of this.#unfinished) {
      if (holding.bytes > 0 && holding !== except) {
        return holding;
      }
    }
    return null;
  }

  #largestAnswer(): Holding | null {
    return [...this.#answers].reduce<Holding | null>((largest, each) => (
      each.bytes > (largest?.bytes ?? 0) ? each : largest
    ), null);
  }
}
