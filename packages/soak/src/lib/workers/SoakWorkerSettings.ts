import type { RandomSource } from '@dandelionlane/core';
import type SoakJournal from '../journal/SoakJournal.js';
import type SoakTables from '../store/SoakTables.js';
import type SoakGroups from './SoakGroups.js';

/** What a `SoakWorker` is made of. */
export default interface SoakWorkerSettings {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Groups of model workers; null for a plain worker. */
  readonly groups: SoakGroups | null;
  readonly slots: number;
  /** Share of the answers that have neither a length nor chunks. */
  readonly unframedShare: number;
  /** Time between the halves of a plain answer without a length, in ms. */
  readonly halfMilliseconds: number;
  readonly tables: SoakTables;
  readonly journal: SoakJournal;
  readonly random: RandomSource;
}
