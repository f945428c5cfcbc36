import type { FabricDomainId, ModelName } from '@dandelionlane/core';
import type FreeWorkerPool from './FreeWorkerPool.js';
import type GroupRecord from './GroupRecord.js';

/**
 * Orders domains with free workers by how well a group of a model fits: zones with few groups of the model
 * first, so that the loss of a zone leaves others; then domains without groups of other models, where any
 * spare can replace any member; then those with few free workers, which leaves room for larger groups.
 */
export default function orderDomains(
  pool: FreeWorkerPool,
  records: readonly GroupRecord[],
  model: ModelName,
): readonly (FabricDomainId | null)[] {
  const countRecords = (isCounted: (record: GroupRecord) => boolean) => records.filter(isCounted).length;
  const ranked = pool.domains().map((domain) => {
    const zone = pool.inDomain(domain)[0]?.worker.zone;
    return {
      domain,
      inZone: countRecords((record) => record.model === model && record.members[0]?.zone === zone),
      others: countRecords((record) => record.model !== model && record.members[0]?.domain === domain),
      free: pool.countIn(domain),
    };
  });
  return ranked
    .sort((left, right) => left.inZone - right.inZone || left.others - right.others || left.free - right.free)
    .map(({ domain }) => domain);
}
