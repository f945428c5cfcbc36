/** Length of one period, in ms: no stream waits longer than that for a target. */
const PERIOD_MILLISECONDS = 1_500;

/** Counts events by priority in the current period and the one before. */
export default class RecentCounts {
  #startedAt = Number.NEGATIVE_INFINITY;

  #current = new Map<number, number>();

  #previous = new Map<number, number>();

  record(priority: number, now: number): void {
    this.#roll(now);
    this.#current.set(priority, (this.#current.get(priority) ?? 0) + 1);
  }

  /** Events of each priority that has any. */
  counts(now: number): ReadonlyMap<number, number> {
    const age = now - this.#startedAt;
    if (age >= 2 * PERIOD_MILLISECONDS) {
      return new Map();
    }
    const counts = new Map(this.#current);
    if (age < PERIOD_MILLISECONDS) {
      this.#previous.forEach((count, priority) => counts.set(priority, (counts.get(priority) ?? 0) + count));
    }
    return counts;
  }

  #roll(now: number): void {
    const age = now - this.#startedAt;
    if (age >= PERIOD_MILLISECONDS) {
      this.#previous = age < 2 * PERIOD_MILLISECONDS ? this.#current : new Map();
      this.#current = new Map();
      this.#startedAt = now;
    }
  }
}
