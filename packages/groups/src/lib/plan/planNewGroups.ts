import { GroupName, type FabricDomainId, type ServiceId } from '@dandelionlane/core';
import type { EngineProfile, ModelProfile } from '@dandelionlane/fleet';
import type EpochSource from './EpochSource.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import type WorkerPool from './WorkerPool.js';
import toReference from './toReference.js';

/** Workers of a domain for which one is kept as a spare. */
const WORKERS_PER_SPARE = 10;

/** What `planNewGroups` decides with. */
interface NewGroupsInput {
  readonly service: ServiceId;
  readonly engine: EngineProfile;
  readonly records: readonly GroupRecord[];
  readonly pool: WorkerPool;
  readonly epochs: EpochSource;
  /** Workers in each domain, in groups or free. New groups are formed in these domains only. */
  readonly domainSizes: ReadonlyMap<FabricDomainId | null, number>;
}

/**
 * Models by their workers for their share of the work, fewest first; of equals the larger one, as
 * it is harder to fit.
 */
function bySupply(
  models: readonly ModelProfile[],
  counts: ReadonlyMap<string, number>,
): readonly ModelProfile[] {
  const supplyOf = ({ name, groupSize, workShare }: ModelProfile) => (
    ((counts.get(name) ?? 0) * groupSize) / workShare
  );
  return [...models].sort((left, right) => supplyOf(left) - supplyOf(right)
    || right.groupSize - left.groupSize);
}

/**
 * Forms groups of the workers that are free, each within one domain, and keeps spares. Takes the
 * domain with the fewest free workers that fits, so that larger groups find room in the others.
 */
export default function planNewGroups(input: NewGroupsInput): readonly GroupStep[] {
  const {
    service, engine, records, pool, epochs, domainSizes,
  } = input;
  const counts = new Map<string, number>();
  records.filter((record) => record.service === service)
    .forEach(({ model }) => counts.set(model, (counts.get(model) ?? 0) + 1));
  const steps: GroupStep[] = [];
  const placeOne = (): boolean => bySupply(engine.models, counts).some((model) => (
    [...pool.domains()]
      .sort((left, right) => pool.countIn(left) - pool.countIn(right))
      .some((domain) => {
        const size = domainSizes.get(domain);
        const reserve = Math.floor((size ?? 0) / WORKERS_PER_SPARE);
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
