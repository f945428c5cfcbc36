import type { ModelName } from '@dandelionlane/core';
import type ObservedWorker from '../observation/ObservedWorker.js';
import type EpochSource from './EpochSource.js';
import type GroupStep from './GroupStep.js';
import warmUpGroupOf from './warmUpGroupOf.js';

/**
 * Makes a spare load a model from its host once, in a single-member group that never opens and that it
 * leaves again. A worker that joins a group of its last model is then ready immediately instead of
 * after loading the weights.
 */
export default function planWarmUp(
  spare: ObservedWorker,
  model: ModelName,
  epochs: EpochSource,
): readonly GroupStep[] {
  const isIdle = !spare.hasPendingOrder && spare.report?.group === null && !spare.report.busy;
  return isIdle && spare.lastModel !== model ? [{
    kind: 'order',
    worker: spare.worker.id,
    order: {
      kind: 'join', group: warmUpGroupOf(spare.worker.id), epoch: epochs.next(), model, members: [spare.worker.id],
    },
    loadsWeights: false,
  }] : [];
}
