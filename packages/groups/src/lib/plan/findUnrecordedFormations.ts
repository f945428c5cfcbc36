import type FleetObservation from '../observation/FleetObservation.js';
import type FormerHead from './FormerHead.js';
import type GroupRecord from './GroupRecord.js';
import findHead from './findHead.js';
import toReference from './toReference.js';

/**
 * Finds formations of a group that workers report but its record lacks, newest first: a holder that
 * could not reach the store formed them. Formations whose head does not answer are left out.
 */
export default function findUnrecordedFormations(
  record: GroupRecord,
  observation: FleetObservation,
): readonly FormerHead[] {
  const known = new Set<number>([record.epoch, ...record.formerHeads.map(({ epoch }) => epoch)]);
  const found = new Map<number, FormerHead>();
  observation.inGroup(record.name).forEach(({ report }) => {
    const group = report?.group ?? null;
    if (group === null || known.has(group.epoch)) {
      return;
    }
    const head = findHead(group, observation);
    if (head !== undefined) {
      found.set(group.epoch, { epoch: group.epoch, head: toReference(head), stalled: false });
    }
  });
  return [...found.values()].sort((left, right) => right.epoch - left.epoch);
}
