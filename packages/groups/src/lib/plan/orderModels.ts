import type { ModelName } from '@dandelionlane/core';
import type { ModelProfile } from '@dandelionlane/fleet';

/** Input of `orderModels`. */
interface ModelOrderInput {
  readonly models: readonly ModelProfile[];
  /** Groups of each model. */
  readonly counts: ReadonlyMap<ModelName, number>;
  /** Workers that may be in groups. */
  readonly workers: number;
}

/**
 * Orders models by which should get the next group. Models that stay within their share of the workers
 * are first, the one with the largest groups before the others, as it is harder to place. The others
 * follow, fewest workers relative to their share first.
 */
export default function orderModels({ models, counts, workers }: ModelOrderInput): readonly ModelProfile[] {
  const totalShare = models.reduce((sum, { workShare }) => sum + workShare, 0);
  const workersOf = ({ name, groupSize }: ModelProfile) => (counts.get(name) ?? 0) * groupSize;
  const isShort = (model: ModelProfile) => (
    workersOf(model) + model.groupSize <= (workers * model.workShare) / totalShare
  );
  const supplyOf = (model: ModelProfile) => workersOf(model) / model.workShare;
  return [
    ...models.filter(isShort).sort((left, right) => right.groupSize - left.groupSize),
    ...models.filter((model) => !isShort(model)).sort((left, right) => supplyOf(left) - supplyOf(right)
      || right.groupSize - left.groupSize),
  ];
}
