import type SoakEntry from './entries/SoakEntry.js';
import type SoakJournal from './journal/SoakJournal.js';
import type SoakTables from './store/SoakTables.js';
import type StoreServer from './store/StoreServer.js';
import type SoakWorker from './workers/SoakWorker.js';

/** Everything that runs in a soak. */
export default interface SoakTopology {
  readonly journal: SoakJournal;
  readonly tables: SoakTables;
  readonly store: StoreServer;
  readonly entries: readonly SoakEntry[];
  readonly workers: readonly SoakWorker[];
  /** How many workers, from the first, are plain. */
  readonly plainWorkers: number;
  /** How many workers, from the first, may fail. The spare ones stay sound. */
  readonly faultyWorkers: number;
}
