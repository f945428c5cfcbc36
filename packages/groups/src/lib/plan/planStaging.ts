import type { FabricDomainId, ModelName } from '@dandelionlane/core';
import type ObservedWorker from '../observation/ObservedWorker.js';
import type EpochSource from './EpochSource.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import FreeWorkerPool from './FreeWorkerPool.js';
import allotSpares from './allotSpares.js';
import planWarmUp from './planWarmUp.js';

/** Plans which weights the spares of a domain hold, so that they can replace members quickly. */
export default function planStaging(
  domain: FabricDomainId | null,
  records: readonly GroupRecord[],
  pool: FreeWorkerPool,
  epochs: EpochSource,
): readonly GroupStep[] {
  const members = new Map<ModelName, number>();
  records.filter((record) => record.members[0]?.domain === domain)
    .forEach(({ model, members: { length } }) => members.set(model, (members.get(model) ?? 0) + length));
  const spares = [...pool.inDomain(domain)]
    .sort((left, right) => (left.worker.id < right.worker.id ? -1 : 1));
  const unassigned = new Map(allotSpares(members, spares.length));
  const assign = (model: ModelName | undefined): boolean => {
    const left = model === undefined ? 0 : unassigned.get(model) ?? 0;
    if (model !== undefined && left > 0) {
      unassigned.set(model, left - 1);
    }
    return left > 0;
  };
  const isUnassigned = (name: ModelName) => (unassigned.get(name) ?? 0) > 0;
  const staged = new Map(spares.flatMap((spare): [ObservedWorker, ModelName][] => {
    const model = [...unassigned.keys()]
      .find((name) => isUnassigned(name) && FreeWorkerPool.isStaged(spare, name));
    return model !== undefined && assign(model) ? [[spare, model]] : [];
  }));
  return spares.flatMap((spare): readonly GroupStep[] => {
    const stagedModel = staged.get(spare);
    if (stagedModel !== undefined) {
      return planWarmUp(spare, stagedModel, epochs);
    }
    const model = [...unassigned.keys()].find(isUnassigned);
    // A busy spare is already loading; it counts towards the model that it would be assigned.
    const isIdle = !spare.hasPendingOrder && spare.report?.busy !== true;
    return model !== undefined && assign(model) && isIdle ? [{
      kind: 'order', worker: spare.worker.id, order: { kind: 'stage', model }, loadsWeights: true,
    }] : [];
  });
}
