import type { ModelName } from '@dandelionlane/core';
import type { EntryStatus } from '@dandelionlane/links';

/** Most urgent priority of the recent requests of all entries for each model, where an entry had any. */
export default function measurePriorities(waiting: EntryStatus['waiting']): ReadonlyMap<ModelName, number> {
  const priorities = new Map<ModelName, number>();
  waiting.forEach(({ model, priority }) => {
    if (priority !== null) {
      priorities.set(model, Math.min(priority, priorities.get(model) ?? priority));
    }
  });
  return priorities;
}
