import { Epoch } from '@dandelionlane/core';
import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';

/**
 * Hands out epochs above all that are known. Workers refuse a join with a lower epoch than one
 * of another group that they have seen, so epochs are ordered over all groups.
 */
export default class EpochSource {
  #highest: number;

  constructor(observation: FleetObservation, records: readonly GroupRecord[]) {
    this.#highest = 0;
    observation.workers.forEach(({ report, worker }) => {
      this.#highest = Math.max(this.#highest, report?.group?.epoch ?? 0, worker.group?.epoch ?? 0);
    });
    records.forEach(({ epoch }) => {
      this.#highest = Math.max(this.#highest, epoch);
    });
  }

  next(): Epoch {
    this.#highest += 1;
    return Epoch.parse(this.#highest);
  }
}
