import type { ServiceId } from '@dandelionlane/core';
import { stallThresholdMilliseconds, type ServiceProfile, type WorkerEntry } from '@dandelionlane/fleet';

/**
 * Longest usual silence of a worker that serves streams, in ms. For a worker or a service that is not
 * known any more it is the longest of all services and models, as streams may still run there.
 * @param unreadTokens Prompt tokens that the worker may still have to prefill.
 */
export default function estimateStallThreshold(
  known: WorkerEntry | undefined,
  services: ReadonlyMap<ServiceId, ServiceProfile> | undefined,
  unreadTokens: number,
): number {
  const service = known === undefined ? undefined : services?.get(known.worker.service);
  const profiles = service === undefined ? [...services?.values() ?? []] : [service];
  const thresholds = profiles.flatMap(({ engine }) => (engine === null ? [] : [engine])).flatMap((engine) => {
    const models = service === undefined ? engine.models.map(({ name }) => name) : [known?.models[0] ?? null];
    return models.map((model) => stallThresholdMilliseconds(engine, model, unreadTokens));
  });
  return thresholds.length === 0 ? Number.POSITIVE_INFINITY : Math.max(...thresholds);
}
