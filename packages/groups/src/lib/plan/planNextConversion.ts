import type { AvailabilityZoneId, FabricDomainId } from '@dandelionlane/core';
import type { EngineProfile, ModelProfile } from '@dandelionlane/fleet';
import type FleetObservation from '../observation/FleetObservation.js';
import findFaultyMembers from './findFaultyMembers.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import type ModelDemand from './ModelDemand.js';

/** Use of a model's slots from which groups of others are converted to it. */
const BUSY_UTILIZATION = 0.4;

/** Largest use of the slots of a model that gives groups up, as a share of that of the busy one. */
const REMAINING_UTILIZATION_SHARE = 0.6;

/** Share of the loads at full speed that may be under way: conversions must not slow repairs down. */
const LOADS_UNDER_WAY_SHARE = 0.25;

/** Input of `planNextConversion`. */
interface ConversionInput {
  readonly engine: EngineProfile;
  /** Records of the service. */
  readonly records: readonly GroupRecord[];
  readonly observation: FleetObservation;
  readonly demand: ModelDemand;
  /** Zones that are out of service. */
  readonly closedZones: ReadonlySet<AvailabilityZoneId>;
}

/** Groups of a model that serve. */
interface Supply {
  readonly model: ModelProfile;
  readonly groups: readonly GroupRecord[];
  /** Use of their slots; infinite without groups. */
  readonly utilization: number;
}

function countLoads({ workers }: FleetObservation): number {
  return [...workers.values()].filter(({ report }) => report !== null
    && (report.busy || (report.group?.state === 'joining' && report.stagedModels.length === 0))).length;
}

/** Domains of a model with the groups that may be given up together, zones with most of its groups first. */
function groupByDomain(groups: readonly GroupRecord[]): readonly (readonly GroupRecord[])[] {
  const byDomain = new Map<FabricDomainId | null, GroupRecord[]>();
  groups.forEach((record) => {
    const domain = record.members[0]?.domain ?? null;
    byDomain.set(domain, [...byDomain.get(domain) ?? [], record]);
  });
  const inZone = (zone: AvailabilityZoneId | undefined) => (
    groups.filter(({ members }) => members[0]?.zone === zone).length
  );
  return [...byDomain.values()].sort((left, right) => (
    inZone(right[0]?.members[0]?.zone) - inZone(left[0]?.members[0]?.zone)
  ));
}

/**
 * Plans to convert groups of a model that uses few of its slots to one that is busy, one domain at a time.
 * Each zone keeps groups of the first one.
 */
export default function planNextConversion({
  engine, records, observation, demand, closedZones,
}: ConversionInput): readonly GroupStep[] {
  const isUnderWay = records.some(({ convertsTo }) => convertsTo !== null);
  if (!demand.isLearned || isUnderWay
    || countLoads(observation) > engine.loadsAtOnce * LOADS_UNDER_WAY_SHARE) {
    return [];
  }
  const zones = new Set(records.map(({ members }) => members[0]?.zone));
  const supplies = engine.models.map((model): Supply => {
    const groups = records.filter((record) => record.model === model.name
      && !closedZones.has(record.members[0]?.zone as AvailabilityZoneId)
      && findFaultyMembers(record, observation).length === 0);
    return { model, groups, utilization: demand.meanRequests(model.name) / (groups.length * engine.slots) };
  }).sort((left, right) => right.utilization - left.utilization);
  const [busiest] = supplies;
  if (busiest === undefined || busiest.utilization < BUSY_UTILIZATION) {
    return [];
  }
  const options = supplies.slice(1).map(({ model, groups }): readonly GroupStep[] => {
    const needed = Math.ceil(busiest.model.groupSize / model.groupSize);
    const remaining = demand.meanRequests(model.name) / ((groups.length - needed) * engine.slots);
    const total = records.filter((record) => record.model === model.name).length;
    if (groups.length <= needed || total - needed < zones.size
      || remaining > busiest.utilization * REMAINING_UTILIZATION_SHARE) {
      return [];
    }
    const given = groupByDomain(groups).find(({ length }) => length >= needed)?.slice(0, needed) ?? [];
    return given.map((record) => ({
      kind: 'write', record: { ...record, convertsTo: busiest.model.name }, reason: 'converted',
    }));
  });
  return options.find(({ length }) => length > 0) ?? [];
}
