import type { TeamId } from '@dandelionlane/core';
import type AdmissionCandidate from './AdmissionCandidate.js';
import GUARANTEED_SHARE from './GUARANTEED_SHARE.js';

function countBy<Key>(keys: readonly Key[]): ReadonlyMap<Key, number> {
  const counts = new Map<Key, number>();
  keys.forEach((key) => counts.set(key, (counts.get(key) ?? 0) + 1));
  return counts;
}

/** The key with the largest count; the last one of several. */
function findLargest<Key>(counts: ReadonlyMap<Key, number>): Key | undefined {
  return [...counts].reduce<readonly [Key, number] | undefined>((largest, item) => (
    largest === undefined || item[1] >= largest[1] ? item : largest
  ), undefined)?.[0];
}

/** The last one of a list that meets the condition, or else the last one. */
function lastWhere<Item>(items: readonly Item[], isPreferred: (item: Item) => boolean): Item | undefined {
  return items.findLast(isPreferred) ?? items.at(-1);
}

/**
 * Picks the waiting request that a new one replaces in a full queue, or undefined if the new one is
 * refused instead. Replaced are: a less urgent request while its priority keeps a quarter of an equal
 * part; a request of the most numerous priority while that of the new one has less than this; a request
 * of the same priority of a team that has more than one request more than the new one's. A late request
 * replaces none that can be on time.
 * @param waiting All waiting requests in order of arrival.
 */
export default function pickEvicted<Item extends AdmissionCandidate>(
  waiting: readonly Item[],
  newcomer: AdmissionCandidate,
  now: number,
): Item | undefined {
  const isLate = ({ onTimeUntil }: AdmissionCandidate) => onTimeUntil <= now;
  const counts = countBy([...waiting, newcomer].map(({ priority }) => priority));
  const kept = (waiting.length * GUARANTEED_SHARE) / counts.size;
  const countOf = (priority: number) => counts.get(priority) ?? 0;
  const lessUrgent = [...counts.keys()].filter((priority) => (
    priority > newcomer.priority && countOf(priority) > kept
  ));
  const isBelowKept = countOf(newcomer.priority) <= kept;
  const priority = [Math.max(...lessUrgent), isBelowKept ? findLargest(counts) : undefined, newcomer.priority]
    .find((candidate) => candidate !== undefined && Number.isFinite(candidate));
  const replaceable = waiting
    .filter((item) => item.priority === priority && (isLate(item) || !isLate(newcomer)));
  const byTeam = countBy<TeamId | null>(replaceable.map(({ team }) => team));
  const largestTeam = findLargest(byTeam);
  if (priority === newcomer.priority
    && (byTeam.get(largestTeam ?? null) ?? 0) <= (byTeam.get(newcomer.team) ?? 0) + 1) {
    return undefined;
  }
  return lastWhere(replaceable.filter(({ team }) => team === largestTeam), isLate);
}
