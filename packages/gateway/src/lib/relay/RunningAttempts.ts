/** An attempt that has ended, with how it ended. */
interface EndedAttempt<Attempt, End> {
  readonly attempt: Attempt;
  readonly end: End;
}

/** Attempts of one request that run side by side, in the order in which they started. */
export default class RunningAttempts<Attempt, End> {
  readonly #running = new Map<Attempt, Promise<EndedAttempt<Attempt, End>>>();

  /** Ends the present wait of `nextEnd`, which then also waits for the attempt that has been added. */
  #wake: (() => void) | null = null;

  get size(): number {
    return this.#running.size;
  }

  /** Attempts that run, the oldest first. */
  get all(): readonly Attempt[] {
    return [...this.#running.keys()];
  }

  add(attempt: Attempt, end: Promise<End>): void {
    this.#running.set(attempt, end.then((value) => ({ attempt, end: value })));
    this.#wake?.();
  }

  /** Waits for the next attempt that ends, and takes it out. There has to be one. */
  async nextEnd(): Promise<EndedAttempt<Attempt, End>> {
    let ended: EndedAttempt<Attempt, End> | null = null;
    while (ended === null) {
      const added = new Promise<null>((resolve) => {
        this.#wake = () => resolve(null);
      });
      ended = await Promise.race([...this.#running.values(), added]);
    }
    this.#running.delete(ended.attempt);
    return ended;
  }
}
