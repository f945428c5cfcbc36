/** The table service has returned from a copy of its rows some seconds old. */
interface Restoration {
  readonly from: number;
  readonly to: number;
}

/**
 * The era of the table service: it rises by one each time the service returns from a copy. What was
 * written after the copy was made is gone then, and versions are given out again, so nothing that
 * was read in one era can be compared with a version of another.
 *
 * Invariant: the era never goes back, however late an answer comes.
 */
export default class StoreEra {
  readonly #listeners: ((restoration: Restoration) => void)[] = [];

  #current: number | null = null;

  /** The newest era that was seen; null before the first one, and where the service names none. */
  get current(): number | null {
    return this.#current;
  }

  /** Calls a listener with each restoration, before the answer that shows it is used. */
  onRestored(listener: (restoration: Restoration) => void): void {
    this.#listeners.push(listener);
  }

  /** Takes in the era that an answer, or another process, names; null where none is named. */
  observe(era: number | null): void {
    const before = this.#current;
    if (era === null || (before !== null && era <= before)) {
      return;
    }
    this.#current = era;
    if (before !== null) {
      this.#listeners.forEach((listener) => listener({ from: before, to: era }));
    }
  }

  /** Whether an answer of this era, to a call that began in another one, may be used. */
  isUsable(begun: number | null, answered: number | null): boolean {
    return (begun === null || begun === this.#current) && (answered === null || answered === this.#current);
  }
}
