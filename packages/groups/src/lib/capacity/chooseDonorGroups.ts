import type { AvailabilityZoneId, FabricDomainId, ModelName } from '@dandelionlane/core';
import type FleetObservation from '../observation/FleetObservation.js';
import type DomainSizes from '../plan/DomainSizes.js';
import FreeWorkerPool from '../plan/FreeWorkerPool.js';
import type GroupRecord from '../plan/GroupRecord.js';
import countReservedSpares from '../plan/countReservedSpares.js';
import isReleased from '../plan/isReleased.js';
import type DonorChoice from './DonorChoice.js';
import type ModelLoad from './ModelLoad.js';
import isCompleteAndOpen from './isCompleteAndOpen.js';

/** Domains that a donor keeps groups in, so that the loss of one leaves others. */
const MINIMUM_DONOR_DOMAINS = 2;

/** Input of `chooseDonorGroups`. */
interface DonorGroupsInput {
  /** Records of the service. */
  readonly records: readonly GroupRecord[];
  readonly observation: FleetObservation;
  readonly pool: FreeWorkerPool;
  /** Groups are dissolved in these domains only. */
  readonly domainSizes: DomainSizes;
  /** Zones that are out of service. */
  readonly closedZones: ReadonlySet<AvailabilityZoneId>;
  readonly donor: ModelLoad;
  readonly receiver: ModelLoad;
  /** Maximum number of groups. */
  readonly limit: number;
}

/** Number of members whose hosts have the weights of a model. */
function countStaged({ members }: GroupRecord, model: ModelName, observation: FleetObservation): number {
  return members.map((member) => observation.findInstance(member))
    .filter((observed) => observed !== undefined && FreeWorkerPool.isStaged(observed, model)).length;
}

/**
 * Chooses the fewest groups of a donor in one domain whose members, with the spares there, are enough for
 * a group of the receiver. Groups whose hosts have the receiver's weights come first: a move of an earlier
 * holder is continued, and nothing is loaded. Zones and domains with many groups of the donor follow.
 * Returns null if no domain has enough complete groups.
 */
export default function chooseDonorGroups({
  records, observation, pool, domainSizes, closedZones, donor, receiver, limit,
}: DonorGroupsInput): DonorChoice | null {
  const complete = records.filter((record) => record.model === donor.name
    && isCompleteAndOpen(record, observation)
    && record.formerHeads.every((former) => isReleased(record, former, observation)));
  const byDomain = new Map<FabricDomainId | null, GroupRecord[]>();
  complete.forEach((record) => {
    const domain = record.members[0]?.domain ?? null;
    byDomain.set(domain, [...byDomain.get(domain) ?? [], record]);
  });
  const domainsNeeded = Math.min(MINIMUM_DONOR_DOMAINS, byDomain.size);
  const choices = [...byDomain].flatMap(([domain, inDomain]) => {
    const size = domainSizes.get(domain);
    const zone = inDomain[0]?.members[0]?.zone;
    if (size === undefined || zone === undefined || closedZones.has(zone)) {
      return [];
    }
    const stagedIn = (record: GroupRecord) => countStaged(record, receiver.name, observation);
    const free = Math.max(0, pool.countIn(domain) - countReservedSpares(size));
    const count = Math.max(1, Math.ceil((receiver.groupSize - free) / donor.groupSize));
    const leftDomains = byDomain.size - (count >= inDomain.length ? 1 : 0);
    if (count > Math.min(limit, inDomain.length) || leftDomains < domainsNeeded) {
      return [];
    }
    const chosen = [...inDomain].sort((left, right) => stagedIn(right) - stagedIn(left)).slice(0, count);
    return [{
      domain,
      records: chosen,
      staged: chosen.reduce((sum, record) => sum + stagedIn(record), 0),
      gained: Math.floor((count * donor.groupSize + free) / receiver.groupSize),
      inZone: complete.filter(({ members: [head] }) => head?.zone === zone).length,
      inDomain: inDomain.length,
    }];
  });
  const [best] = choices.sort((left, right) => left.records.length - right.records.length
    || right.staged - left.staged || right.gained - left.gained
    || right.inZone - left.inZone || right.inDomain - left.inDomain);
  return best === undefined ? null : { domain: best.domain, records: best.records };
}
