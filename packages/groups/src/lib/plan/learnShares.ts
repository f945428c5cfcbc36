import type { ModelName } from '@dandelionlane/core';
import type { ModelProfile } from '@dandelionlane/fleet';
import type ModelDemand from './ModelDemand.js';

/** Smallest share of the workers that a model keeps, however little it is used. */
const MINIMUM_SHARE = 0.1;

/**
 * Share of the workers that each model should have, at the same use of all slots. Follows the requests once
 * they have been seen for a while, and the configuration until then.
 */
export default function learnShares(
  models: readonly ModelProfile[],
  demand: ModelDemand,
): ReadonlyMap<ModelName, number> {
  const workOf = ({ name, groupSize, workShare }: ModelProfile) => (
    demand.isLearned ? demand.meanRequests(name) * groupSize : workShare
  );
  const total = models.reduce((sum, model) => sum + workOf(model), 0);
  return new Map(models.map((model) => [
    model.name, total === 0 ? model.workShare : Math.max(MINIMUM_SHARE, workOf(model) / total),
  ]));
}
