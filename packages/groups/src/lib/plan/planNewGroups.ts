import { GroupName, type ModelName, type ServiceId } from '@dandelionlane/core';
import type { EngineProfile, ModelProfile } from '@dandelionlane/fleet';
import type DomainSizes from './DomainSizes.js';
import type EpochSource from './EpochSource.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import type WorkerPool from './WorkerPool.js';
import toReference from './toReference.js';

/** Workers of a domain for which one is kept as a spare. */
const WORKERS_PER_SPARE = 10;

/** Least workers of a domain of which one is kept as a spare. */
const LEAST_WORKERS_WITH_SPARE = 8;

/** What `planNewGroups` decides with. */
interface NewGroupsInput {
  readonly service: ServiceId;
  readonly engine: EngineProfile;
  readonly records: readonly GroupRecord[];
  readonly pool: WorkerPool;
  readonly epochs: EpochSource;
  /** New groups are formed in these domains only. */
  readonly domainSizes: DomainSizes;
  /** Models that are short of replicas: spares are given to them. */
  readonly short: ReadonlySet<ModelName>;
}

/** Spares that a domain keeps while no model is short of replicas. */
function countReserve(domainSize: number): number {
  return domainSize < LEAST_WORKERS_WITH_SPARE ? 0 : Math.max(1, Math.floor(domainSize / WORKERS_PER_SPARE));
}

/**
 * Models that are short of replicas first; then by their workers for their share of the work, fewest
 * first; of equals the larger one, as it is harder to fit.
 */
function byNeed(
  models: readonly ModelProfile[],
  counts: ReadonlyMap<string, number>,
  short: ReadonlySet<ModelName>,
): readonly ModelProfile[] {
  const supplyOf = ({ name, groupSize, workShare }: ModelProfile) => (
    ((counts.get(name) ?? 0) * groupSize) / workShare
  );
  return [...models].sort((left, right) => Number(short.has(right.name)) - Number(short.has(left.name))
    || supplyOf(left) - supplyOf(right)
    || right.groupSize - left.groupSize);
}

/**
 * Forms groups of the workers that are free, each within one domain, and keeps spares. Takes the
 * domain with the fewest free workers that fits, so that larger groups find room in the others.
 */
export default function planNewGroups(input: NewGroupsInput): readonly GroupStep[] {
  const {
    service, engine, records, pool, epochs, domainSizes, short,
  } = input;
  const counts = new Map<string, number>();
  records.filter((record) => record.service === service)
    .forEach(({ model }) => counts.set(model, (counts.get(model) ?? 0) + 1));
  const steps: GroupStep[] = [];
  const placeOne = (): boolean => byNeed(engine.models, counts, short).some((model) => (
    [...pool.domains()]
      .sort((left, right) => pool.countIn(left) - pool.countIn(right))
      .some((domain) => {
        const size = domainSizes.get(domain);
        const reserve = short.has(model.name) ? 0 : countReserve(size ?? 0);
        if (size === undefined || pool.countIn(domain) < model.groupSize + reserve) {
          return false;
        }
        const workers = pool.take(domain, model.name, model.groupSize);
        if (workers === null) {
          return false;
        }
        const epoch = epochs.next();
        steps.push({
          kind: 'write',
          record: {
            name: GroupName.parse(`g${epoch}`),
            service,
            model: model.name,
            epoch,
            members: workers.map(toReference),
            formerHeads: [],
          },
          reason: 'new-group',
        });
        counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
        return true;
      })
  ));
  while (placeOne()) {
    // Places one group at a time until nothing fits.
  }
  return steps;
}
