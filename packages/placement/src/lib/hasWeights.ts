import type { ServiceId } from '@dandelionlane/core';
import type VMObservation from './VMObservation.js';

/** Whether the VM already holds the weights of a version and need not load them from the store. */
export default function hasWeights(vm: VMObservation, service: ServiceId, version: string): boolean {
  const { report } = vm;
  return report !== null
    && report.service === service
    && report.version === version
    && report.phase !== 'loading';
}
