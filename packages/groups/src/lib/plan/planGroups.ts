import type {
  AvailabilityZoneId, FabricDomainId, ServiceId, WorkerId,
} from '@dandelionlane/core';
import type { EngineProfile } from '@dandelionlane/fleet';
import type CapacityMoves from '../capacity/CapacityMoves.js';
import type FleetObservation from '../observation/FleetObservation.js';
import type DomainSizes from './DomainSizes.js';
import type EpochSource from './EpochSource.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import type ModelDemand from './ModelDemand.js';
import assessLiveness from '../observation/assessLiveness.js';
import isAbandoned from './isAbandoned.js';
import planAdoption from './planAdoption.js';
import planDissolution from './planDissolution.js';
import planFormation from './planFormation.js';
import planNewGroups from './planNewGroups.js';
import planReformation from './planReformation.js';
import planReleases from './planReleases.js';
import planStaging from './planStaging.js';
import planOrphanRemoval from './planOrphanRemoval.js';
import FreeWorkerPool from './FreeWorkerPool.js';

/** Time without new workers before groups are formed, in ms: at start all register within seconds. */
const SETTLE_MILLISECONDS = 600;

/** Input of `planGroups`. */
interface GroupPlanInput {
  readonly service: ServiceId;
  /** Epochs of the current term. */
  readonly epochs: EpochSource;
  /** Whether the lease is confirmed to be held, so that no later term can have begun. */
  readonly isConfirmed: boolean;
  readonly engine: EngineProfile;
  readonly records: readonly GroupRecord[];
  readonly observation: FleetObservation;
  /** Workers of the service. */
  readonly candidates: readonly WorkerId[];
  readonly demand: ModelDemand;
  /** Zones that are out of service. */
  readonly closedZones: ReadonlySet<AvailabilityZoneId>;
  /** Moves of groups between models; without them the configured shares hold. */
  readonly capacity?: CapacityMoves;
  /** Whether the store is reachable. While it is not, no group is dissolved for another model. */
  readonly isStoreReachable?: boolean;
}

/**
 * Sizes of the domains whose workers have all answered or been found silent. Forming groups in other
 * domains would give all early workers to the model with the smallest groups.
 */
function sizeSettledDomains(
  observation: FleetObservation,
  candidates: readonly WorkerId[],
): DomainSizes {
  const sizes = new Map<FabricDomainId | null, number>();
  const unsettled = new Set<FabricDomainId | null>();
  candidates.forEach((id) => {
    const observed = observation.workers.get(id);
    const domain = observed?.worker.domain ?? null;
    sizes.set(domain, (sizes.get(domain) ?? 0) + 1);
    if (assessLiveness(observed) === 'unknown') {
      unsettled.add(domain);
    }
  });
  unsettled.forEach((domain) => sizes.delete(domain));
  return sizes;
}

/** Whether a worker reports a later formation of the group, whose record is not in the store. */
function isOutdated({ name, epoch }: GroupRecord, observation: FleetObservation): boolean {
  return observation.inGroup(name).some(({ report }) => (report?.group?.epoch ?? 0) > epoch);
}

/** Returns the records after applying the steps. */
function applySteps(records: readonly GroupRecord[], steps: readonly GroupStep[]): readonly GroupRecord[] {
  const byName = new Map(records.map((record) => [record.name, record]));
  steps.forEach((step) => {
    if (step.kind === 'write') {
      byName.set(step.record.name, step.record);
    } else if (step.kind === 'delete') {
      byName.delete(step.name);
    }
  });
  return [...byName.values()];
}

/**
 * Plans the next steps of all groups of a service: repairs, then new groups, then staging of weights on
 * spares. It only compares records with reports and keeps no state but that of moves between models, so a
 * new holder of the lease continues where the last one stopped.
 */
export default function planGroups(input: GroupPlanInput): readonly GroupStep[] {
  const {
    service, engine, observation, candidates, epochs, isConfirmed, demand, closedZones, capacity,
  } = input;
  const recorded = input.records.filter((record) => record.service === service);
  const adoption = planAdoption({
    service, engine, records: recorded, observation,
  });
  const records = applySteps(recorded, adoption);
  const pool = new FreeWorkerPool(observation, records, candidates);
  epochs.observe(observation, input.records);
  if (!isConfirmed && epochs.isSuperseded) {
    return [];
  }
  const domainSizes = sizeSettledDomains(observation, candidates);
  const moves = capacity?.plan({
    service,
    engine,
    records,
    observation,
    pool,
    demand,
    domainSizes,
    closedZones,
    canWrite: isConfirmed && (input.isStoreReachable ?? true),
  });
  const repairs = records.flatMap((record) => {
    if (moves?.closingGroups.has(record.name) === true) {
      return [];
    }
    if (isOutdated(record, observation) && !domainSizes.has(record.members[0]?.domain ?? null)) {
      // The later formation may be complete, which is known once all workers of the domain have answered.
      return [];
    }
    if (isAbandoned(record, observation)) {
      return planDissolution(record, observation);
    }
    const reformation = planReformation({
      record, observation, pool, epochs,
    });
    const releases = planReleases(record, observation);
    return [...(reformation.length > 0 ? reformation : planFormation(record, observation)), ...releases];
  });
  // While workers are still registering, only small groups would fit.
  const created = observation.sinceNewWorkerMilliseconds < SETTLE_MILLISECONDS ? [] : planNewGroups({
    service,
    engine: moves === undefined ? engine : { ...engine, models: moves.models },
    records,
    observation,
    pool,
    epochs,
    domainSizes,
    demand,
    closedZones,
    ...(moves === undefined ? {} : { heldDomains: moves.heldDomains }),
  });
  const all = [...records, ...created.flatMap((step) => (step.kind === 'write' ? [step.record] : []))];
  // Workers that have just left a dissolved group are no spares.
  const staging = pool.domains().filter((domain) => moves?.heldDomains.has(domain) !== true)
    .flatMap((domain) => planStaging(domain, all, pool, epochs));
  const orphans = planOrphanRemoval(observation, records, candidates, domainSizes);
  return [...adoption, ...repairs, ...created, ...orphans, ...staging, ...moves?.steps ?? []];
}
