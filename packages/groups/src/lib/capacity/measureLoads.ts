import type { AvailabilityZoneId } from '@dandelionlane/core';
import type { EngineProfile } from '@dandelionlane/fleet';
import type FleetObservation from '../observation/FleetObservation.js';
import type DomainSizes from '../plan/DomainSizes.js';
import type GroupRecord from '../plan/GroupRecord.js';
import type ModelDemand from '../plan/ModelDemand.js';
import countGroupWorkers from '../plan/countGroupWorkers.js';
import isServingOrForming from '../plan/isServingOrForming.js';
import type ModelLoad from './ModelLoad.js';
import isCompleteAndOpen from './isCompleteAndOpen.js';

/** Input of `measureLoads`. */
interface LoadSources {
  readonly engine: EngineProfile;
  /** Records of the service. */
  readonly records: readonly GroupRecord[];
  readonly observation: FleetObservation;
  readonly demand: ModelDemand;
  readonly domainSizes: DomainSizes;
  /** Zones that are out of service. */
  readonly closedZones: ReadonlySet<AvailabilityZoneId>;
}

/** Measures the demand and the groups of each model of a service. */
export default function measureLoads({
  engine: { models }, records, observation, demand, domainSizes, closedZones,
}: LoadSources): readonly ModelLoad[] {
  const workers = countGroupWorkers(domainSizes);
  const totalShare = models.reduce((sum, { workShare }) => sum + workShare, 0);
  return models.map(({ name, groupSize, workShare }) => {
    const groups = records.filter((record) => record.model === name
      && isServingOrForming(record, observation, closedZones));
    return {
      name,
      groupSize,
      configuredWorkers: totalShare > 0 ? (workers * workShare) / totalShare : 0,
      priority: demand.priorityOf(name),
      standingRequests: demand.standingRequests(name),
      highestRequests: demand.highestRequests(name),
      groups: groups.length,
      openGroups: groups.filter((record) => isCompleteAndOpen(record, observation)).length,
    };
  });
}
