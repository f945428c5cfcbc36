/** Change of the era: the table service was restored from a backup that is some seconds old. */
interface Restoration {
  readonly from: number;
  readonly to: number;
}

/**
 * The era of the table service, which increases by one each time the service is restored from a
 * backup. A restoration loses the writes made after the backup and assigns their versions again, so
 * versions of different eras cannot be compared.
 *
 * Invariant: the era never decreases, however late an answer arrives.
 */
export default class StoreEra {
  readonly #listeners: ((restoration: Restoration) => void)[] = [];

  #current: number | null = null;

  /** Newest observed era; null before the first one, or if the service reports none. */
  get current(): number | null {
    return this.#current;
  }

  /** Adds a listener for restorations; it is called before the answer that reveals one is used. */
  onRestored(listener: (restoration: Restoration) => void): void {
    this.#listeners.push(listener);
  }

  /** Records the era that an answer or another process reports; null if none is reported. */
  observe(era: number | null): void {
    const previous = this.#current;
    if (era === null || (previous !== null && era <= previous)) {
      return;
    }
    this.#current = era;
    if (previous !== null) {
      this.#listeners.forEach((listener) => listener({ from: previous, to: era }));
    }
  }

  /**
   * Whether an answer may be used: both the call and the answer must be of the current era.
   * @param callEra Era in which the call began; null matches any.
   * @param answerEra Era that the answer reports; null matches any.
   */
  isUsable(callEra: number | null, answerEra: number | null): boolean {
    return (callEra === null || callEra === this.#current)
      && (answerEra === null || answerEra === this.#current);
  }
}
