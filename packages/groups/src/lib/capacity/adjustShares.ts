import type { ModelName } from '@dandelionlane/core';
import type { ModelProfile } from '@dandelionlane/fleet';
import type ModelLoad from './ModelLoad.js';
import countKeptGroups from './countKeptGroups.js';
import countNeededGroups from './countNeededGroups.js';

/**
 * Adjusts the shares of models by which new groups are formed: models that are short under the configured
 * shares get the workers that less urgent models do not need. Returns the same models if nothing changes.
 *
 * @param loads demand and groups of the models
 * @param slots slots of a group
 */
export default function adjustShares(
  models: readonly ModelProfile[],
  loads: readonly ModelLoad[],
  slots: number,
): readonly ModelProfile[] {
  const workers = new Map<ModelName, number>(
    loads.map(({ name, configuredWorkers }) => [name, configuredWorkers]),
  );
  const ranked = loads.flatMap((load) => (load.priority === null ? [] : [{ load, priority: load.priority }]))
    .sort((left, right) => left.priority - right.priority);
  let isAdjusted = false;
  ranked.forEach((receiver) => {
    const { name, groupSize, highestRequests } = receiver.load;
    const needed = countNeededGroups(highestRequests, slots) * groupSize;
    [...ranked].reverse().filter(({ priority }) => priority > receiver.priority).forEach((donor) => {
      const missing = needed - (workers.get(name) ?? 0);
      const kept = countKeptGroups(donor.load, slots) * donor.load.groupSize;
      const given = Math.min(missing, (workers.get(donor.load.name) ?? 0) - kept);
      if (given > 0) {
        isAdjusted = true;
        workers.set(donor.load.name, (workers.get(donor.load.name) ?? 0) - given);
        workers.set(name, (workers.get(name) ?? 0) + given);
      }
    });
  });
  const total = [...workers.values()].reduce((sum, count) => sum + count, 0);
  return isAdjusted
    ? models.map((model) => ({ ...model, workShare: (workers.get(model.name) ?? 0) / total }))
    : models;
}
