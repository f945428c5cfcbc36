import type { ModelName } from '@dandelionlane/core';
import type { FleetConfiguration, WorkerTable } from '@dandelionlane/fleet';
import type { EntryStatus, FleetState } from '@dandelionlane/links';

/** Inputs of `measureDemand`. */
interface DemandSources {
  readonly configuration: FleetConfiguration;
  readonly workers: WorkerTable;
  readonly loads: FleetState['loads'];
  readonly waiting: EntryStatus['waiting'];
}

/** Number of running and waiting requests of all entries for each model. */
export default function measureDemand({
  configuration, workers, loads, waiting,
}: DemandSources): ReadonlyMap<ModelName, number> {
  const requests = new Map<ModelName, number>([...configuration.services.values()]
    .flatMap(({ engine }) => engine?.models.map(({ name }): [ModelName, number] => [name, 0]) ?? []));
  const add = (model: ModelName, count: number) => {
    requests.set(model, (requests.get(model) ?? 0) + count);
  };
  loads.forEach(({ worker, outstanding }) => {
    const [model] = workers.get(worker)?.models ?? [];
    if (model !== undefined) {
      add(model, outstanding);
    }
  });
  waiting.forEach(({ model, requests: count }) => add(model, count));
  return requests;
}
