import type { FabricDomainId, ModelName } from '@dandelionlane/core';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import WorkerPool from './WorkerPool.js';

/**
 * Has the spares of a domain hold the weights that its groups would miss: at least one spare for
 * each model in use, further ones by the number of workers that run the model. The last spare
 * goes to the model with the most members, as that is the one to lose a member next.
 */
export default function planStaging(
  domain: FabricDomainId | null,
  records: readonly GroupRecord[],
  pool: WorkerPool,
): readonly GroupStep[] {
  const members = new Map<ModelName, number>();
  records.filter((record) => record.members[0]?.domain === domain)
    .forEach(({ model, members: { length } }) => members.set(model, (members.get(model) ?? 0) + length));
  const models = [...members.keys()];
  const spares = pool.inDomain(domain);
  const staged = new Map<ModelName, number>();
  const countStaged = (model: ModelName) => staged.get(model) ?? 0;
  const isUseful = (spare: (typeof spares)[number]) => (
    models.some((model) => WorkerPool.isStaged(spare, model))
  );
  spares.forEach((spare) => models.filter((model) => WorkerPool.isStaged(spare, model))
    .forEach((model) => staged.set(model, countStaged(model) + 1)));
  const mostExposed = () => [...models]
    .sort((left, right) => (countStaged(left) / (members.get(left) ?? 1))
      - (countStaged(right) / (members.get(right) ?? 1)))[0];
  const steps: GroupStep[] = [];
  const stage = (spare: (typeof spares)[number], model: ModelName) => {
    staged.set(model, countStaged(model) + 1);
    if (!spare.ordering && spare.report?.busy !== true) {
      steps.push({
        kind: 'order', worker: spare.worker.id, order: { kind: 'stage', model }, loads: true,
      });
    }
  };
  spares.filter((spare) => !isUseful(spare)).forEach((spare) => {
    const model = mostExposed();
    if (model !== undefined) {
      stage(spare, model);
    }
  });
  const missing = models.find((model) => countStaged(model) === 0);
  const isDispensable = (model: ModelName) => countStaged(model) > 1
    || (members.get(model) ?? 0) < (members.get(missing ?? model) ?? 0);
  if (missing !== undefined) {
    const spare = spares.find((candidate) => models.some((model) => model !== missing
      && WorkerPool.isStaged(candidate, model) && isDispensable(model)));
    if (spare !== undefined) {
      stage(spare, missing);
    }
  }
  return steps;
}
