import type { ModelName } from '@dandelionlane/core';

/**
 * Number of spares that should hold the weights of each model: one per model, models with more workers
 * first, and the rest in proportion to the workers of the model (D'Hondt method), as each worker is
 * equally likely to fail next.
 */
export default function allotSpares(
  members: ReadonlyMap<ModelName, number>,
  spares: number,
): ReadonlyMap<ModelName, number> {
  const countOf = (model: ModelName) => members.get(model) ?? 0;
  const models = [...members.keys()].sort((left, right) => countOf(right) - countOf(left));
  const allotted = new Map<ModelName, number>(models.map((model, index) => [model, index < spares ? 1 : 0]));
  const exposure = (model: ModelName) => countOf(model) / ((allotted.get(model) ?? 0) + 1);
  for (let index = models.length; index < spares; index += 1) {
    const [next] = [...models].sort((left, right) => exposure(right) - exposure(left));
    if (next !== undefined) {
      allotted.set(next, (allotted.get(next) ?? 0) + 1);
    }
  }
  return allotted;
}
