import type { EngineProfile, GroupMembership } from '@dandelionlane/fleet';
import type { GroupName, ServiceId } from '@dandelionlane/core';
import assessLiveness from '../observation/assessLiveness.js';
import type FleetObservation from '../observation/FleetObservation.js';
import type ObservedWorker from '../observation/ObservedWorker.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import MAXIMUM_FORMER_HEADS from './MAXIMUM_FORMER_HEADS.js';
import toReference from './toReference.js';

/** A worker with the group that it reports. */
interface ReportingWorker {
  readonly observed: ObservedWorker;
  readonly group: GroupMembership;
}

/** What `planAdoption` decides with. */
interface AdoptionInput {
  readonly service: ServiceId;
  readonly engine: EngineProfile;
  /** Records of the service. */
  readonly records: readonly GroupRecord[];
  readonly observation: FleetObservation;
}

/** Workers that answer and report to be ready or to serve in a formation, by formation. */
function collectFormations(
  { service, observation }: AdoptionInput,
): ReadonlyMap<string, readonly ReportingWorker[]> {
  const formations = new Map<string, ReportingWorker[]>();
  observation.workers.forEach((observed) => {
    const group = observed.report?.group ?? null;
    const isReadyOrOpen = group !== null && (group.state === 'ready' || group.state === 'open');
    if (observed.worker.service === service && isReadyOrOpen && assessLiveness(observed) === 'alive') {
      const key = `${group.name}/${group.epoch}`;
      formations.set(key, [...formations.get(key) ?? [], { observed, group }]);
    }
  });
  return formations;
}

/** The whole formation in the order of its members, or null where one is missing. */
function orderByRank(workers: readonly ReportingWorker[]): readonly ReportingWorker[] | null {
  const ordered = [...workers].sort((left, right) => left.group.rank - right.group.rank);
  return ordered.every(({ group }, index) => group.rank === index) && ordered[0]?.group.state === 'open'
    ? ordered : null;
}

/**
 * Records of whole formations that serve and of which the records do not tell: the store has lost
 * them, or a holder that could not reach it has formed them. Their groups serve on as they are. A
 * record of an earlier formation that names one of their members is deleted.
 *
 * Invariant: workers of one name and epoch were given one list of members, as they refuse another.
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
