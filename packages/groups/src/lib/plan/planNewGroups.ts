import {
  GroupName, type AvailabilityZoneId, type FabricDomainId, type ModelName, type ServiceId,
} from '@dandelionlane/core';
import type { EngineProfile, ModelProfile } from '@dandelionlane/fleet';
import type FleetObservation from '../observation/FleetObservation.js';
import type DomainSizes from './DomainSizes.js';
import type EpochSource from './EpochSource.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import type HeldDomain from './HeldDomain.js';
import type ModelDemand from './ModelDemand.js';
import countGroupWorkers from './countGroupWorkers.js';
import countReservedSpares from './countReservedSpares.js';
import isServingOrForming from './isServingOrForming.js';
import orderDomains from './orderDomains.js';
import orderModels from './orderModels.js';
import FreeWorkerPool from './FreeWorkerPool.js';
import toReference from './toReference.js';

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
  /** Domains whose free workers are for groups of one model. */
  readonly heldDomains?: ReadonlyMap<FabricDomainId | null, HeldDomain>;
}

function countByModel(records: readonly GroupRecord[]): Map<ModelName, number> {
  const counts = new Map<ModelName, number>();
  records.forEach(({ model }) => counts.set(model, (counts.get(model) ?? 0) + 1));
  return counts;
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

/** Whether a domain's free workers may form a group of a model, unless they are too few. */
function mayForm(
  { heldDomains, pool }: NewGroupsInput,
  { name, groupSize }: ModelProfile,
  domain: FabricDomainId | null,
): boolean {
  const held = heldDomains?.get(domain);
  return held === undefined || (held.model === name
    && (!held.requiresWeights || pool.countStagedIn(domain, name) >= groupSize));
}

/** Forms groups of spares for models with too few replicas, first where most spares have the weights. */
function formGroupsForDemand(input: NewGroupsInput, workers: number): readonly GroupStep[] {
  const {
    engine, records, observation, pool, domainSizes, demand, closedZones,
  } = input;
  const counts = countByModel(records.filter((record) => (
    isServingOrForming(record, observation, closedZones)
  )));
  return orderModels({ models: engine.models, counts, workers }).flatMap((model) => {
    const missing = demand.countReplicas(model.name, engine.slots) - (counts.get(model.name) ?? 0);
    const steps: GroupStep[] = [];
    [...pool.domains()]
      .filter((domain) => domainSizes.has(domain) && mayForm(input, model, domain)
        && !pool.inDomain(domain).some(({ worker }) => closedZones.has(worker.zone)))
      .sort((left, right) => pool.countStagedIn(right, model.name) - pool.countStagedIn(left, model.name))
      .forEach((domain) => {
        const step = steps.length < missing ? formGroup(input, model, domain, 'demand') : null;
        steps.push(...(step === null ? [] : [step]));
      });
    return steps;
  });
}

/**
 * Forms groups of free workers, each within one domain. Groups whose workers all have the weights come
 * first: the others would take these workers and load for seconds. Reserved spares are used only for
 * models that are short of replicas.
 */
export default function planNewGroups(input: NewGroupsInput): readonly GroupStep[] {
  const {
    engine: { models }, records, pool, domainSizes,
  } = input;
  const workers = countGroupWorkers(domainSizes);
  const counts = countByModel(records);
  const steps: Extract<GroupStep, { kind: 'write' }>[] = [];
  const all = () => [...records, ...steps.map(({ record }) => record)];
  const fits = (model: ModelProfile, domain: FabricDomainId | null) => {
    const size = domainSizes.get(domain);
    return size !== undefined && pool.countIn(domain) >= model.groupSize + countReservedSpares(size)
      && mayForm(input, model, domain);
  };
  const isStaged = ({ name, groupSize }: ModelProfile, domain: FabricDomainId | null) => (
    pool.countStagedIn(domain, name) >= groupSize
  );
  const placeOne = (isEligible: typeof fits): boolean => (
    orderModels({ models, counts, workers }).some((model) => {
      const domain = orderDomains(pool, all(), model.name)
        .find((candidate) => fits(model, candidate) && isEligible(model, candidate));
      const step = domain === undefined ? null : formGroup(input, model, domain, 'new-group');
      steps.push(...(step === null ? [] : [step]));
      counts.set(model.name, (counts.get(model.name) ?? 0) + (step === null ? 0 : 1));
      return step !== null;
    })
  );
  while (placeOne(isStaged) || placeOne(fits)) {
    // Places one group at a time until nothing fits.
  }
  return [...steps, ...formGroupsForDemand({ ...input, records: all() }, workers)];
}
