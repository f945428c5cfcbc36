import type { TeamId } from '@dandelionlane/core';
import type AdmissionCandidate from './AdmissionCandidate.js';
import GUARANTEED_SHARE from './GUARANTEED_SHARE.js';
import RecentCounts from './RecentCounts.js';

/** Limit on the turns that a priority can save up while none of its requests waits. */
const MAXIMUM_CREDIT = 2;

/** Turns of the teams of one priority beyond those of the waiting team that had the fewest. */
type TeamLeads = ReadonlyMap<TeamId | null, number>;

function groupBy<Item, Key>(items: readonly Item[], keyOf: (item: Item) => Key): ReadonlyMap<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  items.forEach((item) => {
    const group = groups.get(keyOf(item));
    if (group === undefined) {
      groups.set(keyOf(item), [item]);
    } else {
      group.push(item);
    }
  });
  return groups;
}

/**
 * Decides whose turn it is among requests that wait for the same targets. A turn is a try to place one
 * request, whether or not a target takes it, so that a request that fits nowhere blocks no other for long.
 *
 * The most urgent priority goes first. Each priority earns a quarter of the turns that order of arrival
 * would give it, and goes ahead of more urgent ones when it has earned a whole one. Within a priority, a
 * team that has had more turns than another one that waits goes after it: each gets an equal share, and
 * what a team does not ask for goes to the others.
 */
export default class FairShares {
  readonly #arrivals = new RecentCounts();

  readonly #served = new RecentCounts();

  /** Turns that each priority has earned and not had. */
  readonly #credits = new Map<number, number>();

  #leads: ReadonlyMap<number, TeamLeads> = new Map();

  recordArrival(priority: number, now: number): void {
    this.#arrivals.record(priority, now);
  }

  /** Picks the next one of requests that are in the order which holds within a team. */
  pick<Item extends AdmissionCandidate>(inOrder: readonly Item[]): Item | undefined {
    const priority = this.#nextPriority(inOrder);
    const ofPriority = inOrder.filter((item) => item.priority === priority);
    const leads = this.#leads.get(priority);
    if (leads === undefined) {
      return ofPriority[0];
    }
    const least = Math.min(...ofPriority.map(({ team }) => leads.get(team) ?? 0));
    return ofPriority.find(({ team }) => (leads.get(team) ?? 0) <= least);
  }

  /** Records the turn of a request. `waiting` includes it. */
  recordTurn(
    waiting: readonly AdmissionCandidate[],
    { priority, team }: AdmissionCandidate,
    { wasServed, now }: { readonly wasServed: boolean; readonly now: number },
  ): void {
    const byPriority = groupBy(waiting, (item) => item.priority);
    const weights = this.#weights(waiting, now);
    byPriority.forEach((_items, other) => {
      const earned = (this.#credits.get(other) ?? 0) + GUARANTEED_SHARE * (weights.get(other) ?? 0);
      this.#credits.set(other, Math.max(0, Math.min(MAXIMUM_CREDIT, earned) - (other === priority ? 1 : 0)));
    });
    this.#leads = new Map([...byPriority].map(([other, items]) => (
      [other, this.#nextLeads(other, items, other === priority ? team : undefined)]
    )));
    if (wasServed) {
      this.#served.record(priority, now);
    }
  }

  /** Whether another request that waits goes before a new one, although it came later or has more time. */
  goesBehind(waiting: readonly AdmissionCandidate[], { priority, team }: AdmissionCandidate): boolean {
    const lead = (of: TeamId | null) => this.#leads.get(priority)?.get(of) ?? 0;
    return waiting.some((other) => other.priority !== priority
      || (other.team !== team && lead(other.team) < lead(team)));
  }

  /**
   * Estimates the number of turns until that of a new request, including it.
   * @param waiting Requests that wait.
   * @param before Those of them that are before it in the order which holds within a team.
   */
  countTurns(
    waiting: readonly AdmissionCandidate[],
    before: readonly AdmissionCandidate[],
    { priority, team }: AdmissionCandidate,
    now: number,
  ): number {
    const position = before.filter((other) => other.priority === priority && other.team === team).length + 1;
    const ofOthers = groupBy(
      before.filter((other) => other.priority === priority && other.team !== team),
      (other) => other.team,
    );
    const leads = this.#leads.get(priority);
    const lead = leads?.get(team) ?? 0;
    const turns = [...ofOthers].reduce((sum, [other, items]) => (
      sum + Math.min(items.length, Math.max(0, position + lead - (leads?.get(other) ?? 0)))
    ), position);
    const moreUrgent = waiting.filter((other) => other.priority < priority).length;
    if (moreUrgent === 0) {
      return turns;
    }
    const weights = this.#weights([...waiting, { priority }], now);
    const guaranteed = GUARANTEED_SHARE * (weights.get(priority) ?? 0);
    const left = Math.max(guaranteed, 1 - this.#shareServedBefore(priority, now));
    return Math.min(moreUrgent + turns / left, turns / guaranteed);
  }

  /** The priority whose turn it is. */
  #nextPriority(waiting: readonly AdmissionCandidate[]): number {
    const priorities = new Set(waiting.map(({ priority }) => priority));
    const creditOf = (priority: number) => this.#credits.get(priority) ?? 0;
    const [due] = [...priorities].filter((priority) => creditOf(priority) >= 1)
      .sort((left, right) => creditOf(right) - creditOf(left) || left - right);
    return due ?? Math.min(...priorities);
  }

  /** Share of each priority among the requests that order of arrival would serve. */
  #weights(
    waiting: readonly Pick<AdmissionCandidate, 'priority'>[],
    now: number,
  ): ReadonlyMap<number, number> {
    const weights = new Map(this.#arrivals.counts(now));
    groupBy(waiting, ({ priority }) => priority).forEach((items, priority) => {
      weights.set(priority, Math.max(items.length, weights.get(priority) ?? 0));
    });
    const sum = [...weights.values()].reduce((total, weight) => total + weight, 0);
    return new Map([...weights].map(([priority, weight]) => [priority, weight / sum]));
  }

  /** Share of the requests served lately that were more urgent. */
  #shareServedBefore(priority: number, now: number): number {
    const counts = [...this.#served.counts(now)];
    const sum = counts.reduce((total, [, count]) => total + count, 0);
    const before = counts.filter(([other]) => other < priority)
      .reduce((total, [, count]) => total + count, 0);
    return sum === 0 ? 0 : before / sum;
  }

  /** Leads of the teams of a priority after the turn of one of them; undefined if none of them had it. */
  #nextLeads(
    priority: number,
    waiting: readonly AdmissionCandidate[],
    turnOf: TeamId | null | undefined,
  ): TeamLeads {
    const leads = new Map(this.#leads.get(priority));
    const teams = new Set(waiting.map(({ team }) => team));
    teams.forEach((team) => leads.set(team, (leads.get(team) ?? 0) + (team === turnOf ? 1 : 0)));
    const least = Math.min(...[...teams].map((team) => leads.get(team) ?? 0));
    // A team whose lead is used up counts as one that has just come.
    return new Map([...leads].map(([team, lead]) => [team, lead - least] as const)
      .filter(([, lead]) => lead > 0));
  }
}
