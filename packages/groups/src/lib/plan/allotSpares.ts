import type { ModelName } from '@dandelionlane/core';

/**
 * How many of the spares should hold the weights of each model: in proportion to the workers that
 * run it, as each of them may be the next one lost (method of D'Hondt, ties to the larger model).
 */
export default function allotSpares(
  members: ReadonlyMap<ModelName, number>,
  spares: number,
): ReadonlyMap<ModelName, number> {
  const allotted = new Map<ModelName, number>([...members.keys()].map((model) => [model, 0]));
  const exposure = (model: ModelName) => (members.get(model) ?? 0) / ((allotted.get(model) ?? 0) + 1);
  for (let index = 0; index < spares; index += 1) {
    const [next] = [...members.keys()].sort((left, right) => exposure(right) - exposure(left)
      || (members.get(right) ?? 0) - (members.get(left) ?? 0));
    if (next !== undefined) {
      allotted.set(next, (allotted.get(next) ?? 0) + 1);
    }
  }
  return allotted;
}
