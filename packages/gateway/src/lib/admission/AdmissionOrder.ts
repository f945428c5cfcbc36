import type AdmissionCandidate from './AdmissionCandidate.js';
import FairShares from './FairShares.js';

/** Requests that compete for the next turn, in the order which holds within a team. */
interface Tier<Item> {
  readonly shares: FairShares;
  readonly inOrder: readonly Item[];
}

/**
 * Order of the requests that wait for the same targets: a function of these requests, of the turns
 * that were given lately and of the time. Requests that can still be on time go first, by priority and
 * team, the earliest deadline first; the others follow by priority and team, in order of arrival.
 *
 * With one priority and no team ahead of its share, only deadline and arrival count.
 */
export default class AdmissionOrder {
  readonly #onTime = new FairShares();

  readonly #late = new FairShares();

  #lastUsedAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time of the last arrival or turn, in ms. */
  get lastUsedAt(): number {
    return this.#lastUsedAt;
  }

  recordArrival({ priority, onTimeUntil }: AdmissionCandidate, now: number): void {
    this.#lastUsedAt = now;
    this.#sharesFor(onTimeUntil > now).recordArrival(priority, now);
  }

  /** The request whose turn it is. `waiting` is in order of arrival. */
  next<Item extends AdmissionCandidate>(waiting: readonly Item[], now: number): Item | undefined {
    const { shares, inOrder } = this.#firstTier(waiting, now);
    return inOrder.length === 0 ? undefined : shares.pick(inOrder);
  }

  /** The latest one to arrive of the requests whose priority and team have the turn. */
  nextLatest<Item extends AdmissionCandidate>(waiting: readonly Item[], now: number): Item | undefined {
    const { shares, inOrder } = this.#firstTier(waiting, now);
    const competing = new Set(inOrder);
    const latestFirst = waiting.filter((item) => competing.has(item)).reverse();
    return latestFirst.length === 0 ? undefined : shares.pick(latestFirst);
  }

  /** Records that a request had a turn, and whether a target took it. `waiting` includes it. */
  recordTurn<Item extends AdmissionCandidate>(
    waiting: readonly Item[],
    item: Item,
    { wasServed, now }: { readonly wasServed: boolean; readonly now: number },
  ): void {
    this.#lastUsedAt = now;
    const isOnTime = item.onTimeUntil > now;
    const competing = waiting.filter(({ onTimeUntil }) => (onTimeUntil > now) === isOnTime);
    this.#sharesFor(isOnTime).recordTurn(competing, item, { wasServed, now });
  }

  /** Whether a new request has to wait for its turn: others that wait are more urgent, or have had less. */
  goesBehind(waiting: readonly AdmissionCandidate[], item: AdmissionCandidate, now: number): boolean {
    const isOnTime = item.onTimeUntil > now;
    const others = waiting.filter(({ onTimeUntil }) => !isOnTime || onTimeUntil > now);
    return this.#sharesFor(isOnTime).goesBehind(others, item);
  }

  /** Estimates the number of turns until that of a new request, including it. */
  countTurns(waiting: readonly AdmissionCandidate[], item: AdmissionCandidate, now: number): number {
    const onTime = waiting.filter(({ onTimeUntil }) => onTimeUntil > now);
    if (item.onTimeUntil > now) {
      const before = onTime.filter(({ onTimeUntil }) => onTimeUntil <= item.onTimeUntil);
      return this.#onTime.countTurns(onTime, before, item, now);
    }
    const late = waiting.filter(({ onTimeUntil }) => onTimeUntil <= now);
    return onTime.length + this.#late.countTurns(late, late, item, now);
  }

  #sharesFor(isOnTime: boolean): FairShares {
    return isOnTime ? this.#onTime : this.#late;
  }

  #firstTier<Item extends AdmissionCandidate>(waiting: readonly Item[], now: number): Tier<Item> {
    const onTime = waiting.filter(({ onTimeUntil }) => onTimeUntil > now)
      .sort((left, right) => left.onTimeUntil - right.onTimeUntil);
    return onTime.length > 0
      ? { shares: this.#onTime, inOrder: onTime } : { shares: this.#late, inOrder: waiting };
  }
}
