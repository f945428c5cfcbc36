import { Epoch, type FencingNumber } from '@dandelionlane/core';
import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';

/** Size of the range of epochs of each term. */
const EPOCHS_PER_TERM = 1_000_000;

/**
 * Later terms whose epochs are taken into account. Higher ones are of another writer, and epochs above them
 * would not stay exact.
 */
const LATER_TERMS = 1_000_000;

/**
 * Allocates epochs that are unique and higher than all known ones. Workers refuse to join with an epoch
 * below any that they have seen, even of another group, so epochs are ordered across all groups. Each
 * term has its own range, so two holders that are unaware of each other never use one epoch for
 * two lists of members.
 */
export default class EpochSource {
  readonly #first: number;

  #highest: number;

  constructor(fencing: FencingNumber) {
    this.#first = fencing * EPOCHS_PER_TERM;
    this.#highest = this.#first;
  }

  /** Whether a worker or a record has an epoch of a later term. */
  get isSuperseded(): boolean {
    return this.#highest >= this.#first + EPOCHS_PER_TERM;
  }

  /** Whether an epoch is from an earlier term, so that workers may have seen higher ones since. */
  isOfEarlierTerm(epoch: Epoch): boolean {
    return epoch <= this.#first;
  }

  /** Raises the highest known epoch to those of workers and records. */
  observe(observation: FleetObservation, records: readonly GroupRecord[]): void {
    const known = [
      ...[...observation.workers.values()]
        .flatMap(({ report, worker }) => [report?.group?.epoch ?? 0, worker.group?.epoch ?? 0]),
      ...records.map(({ epoch }) => epoch),
    ];
    const highestOfTerms = this.#first + EPOCHS_PER_TERM * LATER_TERMS;
    this.#highest = Math.max(this.#highest, ...known.filter((epoch) => epoch <= highestOfTerms));
  }

  next(): Epoch {
    this.#highest += 1;
    return Epoch.parse(this.#highest);
  }
}
