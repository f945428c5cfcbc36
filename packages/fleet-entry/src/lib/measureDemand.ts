import type { AvailabilityZoneId, ModelName } from '@dandelionlane/core';
import type { FleetConfiguration, WorkerTable } from '@dandelionlane/fleet';
import type { EntryStatus, FleetState } from '@dandelionlane/links';

/** What demand is measured from. */
interface DemandSources {
  readonly configuration: FleetConfiguration;
  readonly workers: WorkerTable;
  readonly closedZones: ReadonlySet<AvailabilityZoneId>;
  readonly loads: FleetState['loads'];
  readonly waiting: EntryStatus['waiting'];
}

/**
 * Share of the places of each model that is in use or waited for, over all entries. Above 1 where
 * more is asked for than there are places.
 */
export default function measureDemand({
  configuration, workers, closedZones, loads, waiting,
}: DemandSources): ReadonlyMap<ModelName, number> {
  const outstanding = new Map(loads.map((load) => [load.worker, load.outstanding]));
  const asked = new Map<ModelName, number>();
  const places = new Map<ModelName, number>();
  const add = (sums: Map<ModelName, number>, model: ModelName, count: number) => {
    sums.set(model, (sums.get(model) ?? 0) + count);
  };
  configuration.services.forEach(({ id, engine }) => {
    engine?.models.forEach(({ name }) => add(asked, name, 0));
    workers.ofService(id).forEach(({ worker, group, models: [model] }) => {
      const isServing = group?.rank === 0 && group.state === 'open';
      const isUsable = !worker.draining && !closedZones.has(worker.zone);
      if (isServing && isUsable && model !== undefined && engine !== null) {
        add(places, model, engine.slots);
        add(asked, model, outstanding.get(worker.id) ?? 0);
      }
    });
  });
  waiting.forEach(({ model, requests }) => add(asked, model, requests));
  return new Map([...asked].map(([model, count]) => (
    [model, count === 0 ? 0 : count / (places.get(model) ?? 0)]
  )));
}
