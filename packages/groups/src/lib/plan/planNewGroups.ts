import {
  GroupName, type AvailabilityZoneId, type FabricDomainId, type ModelName, type ServiceId,
} from '@dandelionlane/core';
import type { EngineProfile, ModelProfile } from '@dandelionlane/fleet';
import type FleetObservation from '../observation/FleetObservation.js';
import type DomainSizes from './DomainSizes.js';
import type EpochSource from './EpochSource.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import type ModelDemand from './ModelDemand.js';
import FreeWorkerPool from './FreeWorkerPool.js';
import findFaultyMembers from './findFaultyMembers.js';
import toReference from './toReference.js';

/** Workers of a domain per reserved spare. */
const WORKERS_PER_SPARE = 10;

/** Minimum size of a domain with a reserved spare: in a smaller one it is too large a share. */
const MINIMUM_WORKERS_WITH_SPARE = 8;

/** Input of `planNewGroups`. */
interface NewGroupsInput {
  readonly service: ServiceId;
  readonly engine: EngineProfile;
  /** Records of the service. */
  readonly records: readonly GroupRecord[];
  readonly observation: FleetObservation;
  readonly pool: FreeWorkerPool;
  readonly epochs: EpochSource;
  /** New groups are formed in these domains only. */
  readonly domainSizes: DomainSizes;
  readonly demand: ModelDemand;
  /** Zones that are out of service; groups there get no traffic. */
  readonly closedZones: ReadonlySet<AvailabilityZoneId>;
}

/** Number of spares that a domain keeps while no model is short of replicas. */
function countReservedSpares(domainSize: number): number {
  return domainSize < MINIMUM_WORKERS_WITH_SPARE
    ? 0 : Math.max(1, Math.floor(domainSize / WORKERS_PER_SPARE));
}

function countByModel(records: readonly GroupRecord[]): Map<ModelName, number> {
  const counts = new Map<ModelName, number>();
  records.forEach(({ model }) => counts.set(model, (counts.get(model) ?? 0) + 1));
  return counts;
}

/** Whether a group without faulty members serves or is forming, in a zone that is in service. */
function isServingOrForming(
  record: GroupRecord,
  { observation, closedZones }: Pick<NewGroupsInput, 'observation' | 'closedZones'>,
): boolean {
  const [head] = record.members;
  const isWhole = findFaultyMembers(record, observation).length === 0;
  return head !== undefined && !closedZones.has(head.zone) && isWhole;
}

/**
 * Sorts models by workers relative to their share of the work, fewest first. Of equals, the model with
 * larger groups is first, as it is harder to place.
 */
function sortBySupply(
  models: readonly ModelProfile[],
  counts: ReadonlyMap<ModelName, number>,
): readonly ModelProfile[] {
  const supplyOf = ({ name, groupSize, workShare }: ModelProfile) => (
    ((counts.get(name) ?? 0) * groupSize) / workShare
  );
  return [...models].sort((left, right) => supplyOf(left) - supplyOf(right)
    || right.groupSize - left.groupSize);
}

/** Plans a group of free workers of a domain, or returns null when there are too few. */
function formGroup(
  { service, pool, epochs }: NewGroupsInput,
  model: ModelProfile,
  domain: FabricDomainId | null,
  reason: string,
): Extract<GroupStep, { kind: 'write' }> | null {
  const workers = pool.take(domain, model.name, model.groupSize);
  if (workers === null) {
    return null;
  }
  const epoch = epochs.next();
  return {
    kind: 'write',
    record: {
      name: GroupName.parse(`g${epoch}`),
      service,
      model: model.name,
      epoch,
      members: workers.map(toReference),
      formerHeads: [],
    },
    reason,
  };
}

/** Forms groups of spares for models with too few replicas, first where most spares have the weights. */
function formGroupsForDemand(input: NewGroupsInput): readonly GroupStep[] {
  const {
    engine, records, pool, domainSizes, demand, closedZones,
  } = input;
  const counts = countByModel(records.filter((record) => isServingOrForming(record, input)));
  return sortBySupply(engine.models, counts).flatMap((model) => {
    const missing = demand.countReplicas(model.name, engine.slots) - (counts.get(model.name) ?? 0);
    const steps: GroupStep[] = [];
    const stagedIn = (domain: FabricDomainId | null) => (
      pool.inDomain(domain).filter((spare) => FreeWorkerPool.isStaged(spare, model.name)).length
    );
    [...pool.domains()]
      .filter((domain) => domainSizes.has(domain)
        && !pool.inDomain(domain).some(({ worker }) => closedZones.has(worker.zone)))
      .sort((left, right) => stagedIn(right) - stagedIn(left))
      .forEach((domain) => {
        const step = steps.length < missing ? formGroup(input, model, domain, 'demand') : null;
        steps.push(...(step === null ? [] : [step]));
      });
    return steps;
  });
}

/**
 * Forms groups of free workers, each within one domain. Reserved spares are used only for models that
 * are short of replicas. Prefers the fitting domain with the fewest free workers (best fit), which
 * leaves space for larger groups in the others.
 */
export default function planNewGroups(input: NewGroupsInput): readonly GroupStep[] {
  const {
    engine, records, pool, domainSizes,
  } = input;
  const counts = countByModel(records);
  const steps: GroupStep[] = [];
  const placeOne = (): boolean => sortBySupply(engine.models, counts).some((model) => (
    [...pool.domains()]
      .sort((left, right) => pool.countIn(left) - pool.countIn(right))
      .some((domain) => {
        const size = domainSizes.get(domain);
        if (size === undefined || pool.countIn(domain) < model.groupSize + countReservedSpares(size)) {
          return false;
        }
        const step = formGroup(input, model, domain, 'new-group');
        steps.push(...(step === null ? [] : [step]));
        counts.set(model.name, (counts.get(model.name) ?? 0) + (step === null ? 0 : 1));
        return step !== null;
      })
  ));
  while (placeOne()) {
    // Places one group at a time until nothing fits.
  }
  return [...steps, ...formGroupsForDemand({
    ...input,
    records: [...records, ...steps.flatMap((step) => (step.kind === 'write' ? [step.record] : []))],
  })];
}
