import { formationName, type EngineProfile, type GroupMembership } from '@dandelionlane/fleet';
import type { GroupName, ServiceId } from '@dandelionlane/core';
import assessLiveness from '../observation/assessLiveness.js';
import type FleetObservation from '../observation/FleetObservation.js';
import type ObservedWorker from '../observation/ObservedWorker.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import MAXIMUM_FORMER_HEADS from './MAXIMUM_FORMER_HEADS.js';
import toReference from './toReference.js';

/** A worker and the group that it reports. */
interface ReportingWorker {
  readonly observed: ObservedWorker;
  readonly group: GroupMembership;
}

/** Input of `planAdoption`. */
interface AdoptionInput {
  readonly service: ServiceId;
  readonly engine: EngineProfile;
  /** Records of the service. */
  readonly records: readonly GroupRecord[];
  readonly observation: FleetObservation;
}

/** Collects, by formation, the alive workers that report to be ready or open. */
function collectFormations(
  { service, observation }: AdoptionInput,
): ReadonlyMap<string, readonly ReportingWorker[]> {
  const formations = new Map<string, ReportingWorker[]>();
  observation.workers.forEach((observed) => {
    const group = observed.report?.group ?? null;
    const isReadyOrOpen = group !== null && (group.state === 'ready' || group.state === 'open');
    if (observed.worker.service === service && isReadyOrOpen && assessLiveness(observed) === 'alive') {
      const key = formationName(group);
      formations.set(key, [...formations.get(key) ?? [], { observed, group }]);
    }
  });
  return formations;
}

/** Workers of a formation by rank, or null when a rank is missing or the head is not open. */
function orderByRank(workers: readonly ReportingWorker[]): readonly ReportingWorker[] | null {
  const ordered = [...workers].sort((left, right) => left.group.rank - right.group.rank);
  return ordered.every(({ group }, index) => group.rank === index) && ordered[0]?.group.state === 'open'
    ? ordered : null;
}

/**
 * Plans records for complete, serving formations that have none: the store lost the record, or a holder
 * that could not reach the store formed the group. Their groups keep serving unchanged. Records of
 * other groups with a lower epoch that contain one of their members are deleted.
 *
 * Invariant: all workers with the same group name and epoch have the same list of members, as workers
 * refuse a second one.
 */
export default function planAdoption(input: AdoptionInput): readonly GroupStep[] {
  const { service, engine, records } = input;
  const known = new Map<GroupName, GroupRecord>(records.map((record) => [record.name, record]));
  return [...collectFormations(input).values()].flatMap((workers): readonly GroupStep[] => {
    const members = orderByRank(workers);
    const head = members?.[0];
    if (members === null || head === undefined) {
      return [];
    }
    const { name, epoch } = head.group;
    const record = known.get(name);
    const model = engine.models.find((profile) => profile.groupSize === members.length
      && head.observed.report?.models.includes(profile.name));
    if (model === undefined || (record !== undefined && record.epoch >= epoch)) {
      return [];
    }
    const [formerHead] = record?.members ?? [];
    const ids = new Set(members.map(({ observed: { worker } }) => worker.id));
    const superseded = records.filter((other) => other.name !== name && other.epoch < epoch
      && other.members.some(({ id }) => ids.has(id)));
    return [...superseded.map((other): GroupStep => ({
      kind: 'delete', name: other.name, reason: 'members-adopted',
    })), {
      kind: 'write',
      record: {
        name,
        service,
        model: model.name,
        epoch,
        members: members.map(({ observed }) => toReference(observed)),
        formerHeads: record === undefined || formerHead === undefined ? [] : [
          { epoch: record.epoch, head: formerHead, stalled: false },
          ...record.formerHeads,
        ].slice(0, MAXIMUM_FORMER_HEADS),
      },
      reason: 'adopted',
    }];
  });
}
