import type EntryStatus from './EntryStatus.js';

/**
 * Number of entries that have to find a target absent: one alone may have lost its own network, which
 * resets connections to all targets.
 */
const MINIMUM_ENTRIES = 2;

/** Targets that several entries have just found absent from their addresses. */
export default function findAbsentTargets(
  statuses: readonly Pick<EntryStatus, 'absent'>[],
): EntryStatus['absent'] {
  const counts = new Map<string, { readonly target: EntryStatus['absent'][number]; entries: number }>();
  statuses.forEach(({ absent }) => absent.forEach((target) => {
    const key = `${target.id}/${target.bornAt}/${target.formation}`;
    const count = counts.get(key) ?? { target, entries: 0 };
    count.entries += 1;
    counts.set(key, count);
  }));
  return [...counts.values()].filter(({ entries }) => entries >= MINIMUM_ENTRIES).map(({ target }) => target);
}
