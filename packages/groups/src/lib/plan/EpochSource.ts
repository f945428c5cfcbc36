import { Epoch, type FencingNumber } from '@dandelionlane/core';
import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';

/** Epochs that one term may hand out. */
const EPOCHS_PER_TERM = 1_000_000;

/**
 * Hands out epochs above all that are known, each once. Workers refuse a join with a lower epoch
 * than one of another group that they have seen, so epochs are ordered over all groups. Terms have
 * ranges of their own: two holders that do not know of each other never give one epoch to two lists.
 */
export default class EpochSource {
  readonly #first: number;

  #highest: number;

  constructor(fencing: FencingNumber) {
    this.#first = fencing * EPOCHS_PER_TERM;
    this.#highest = this.#first;
  }

  /** Whether a worker or a record names an epoch of a later term. */
  get isSuperseded(): boolean {
    return this.#highest >= this.#first + EPOCHS_PER_TERM;
  }

  /** Whether an epoch was handed out in an earlier term: workers may have seen later ones since. */
  isOfEarlierTerm(epoch: Epoch): boolean {
    return epoch <= this.#first;
  }

  /** Takes in the epochs that workers and records name. */
  observe(observation: FleetObservation, records: readonly GroupRecord[]): void {
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
