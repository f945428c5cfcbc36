import type { StoreEra } from '@dandelionlane/core';
import type { FleetState } from '@dandelionlane/links';
import type FleetView from './FleetView.js';

/** Options of a `RegistrationReplicator`. */
interface RegistrationSharingOptions {
  readonly era: StoreEra;
  readonly view: FleetView;
  /** Called when all registrations have to be sent again. */
  readonly onSnapshotRequired: () => void;
}

/**
 * Replicates the registrations of workers over the links: the holder of the lease sends them, and the
 * other entries apply them. Rows of different eras of the store are never mixed, as rows of an older
 * era would hide newer ones.
 */
export default class RegistrationReplicator {
  readonly #options: RegistrationSharingOptions;

  /** Era of the rows that were last sent. */
  #sentEra: number | null = null;

  constructor(options: RegistrationSharingOptions) {
    this.#options = options;
  }

  /** Returns the changes since the last call. */
  takeChanges(): Pick<FleetState, 'era' | 'rows' | 'returned' | 'version'> {
    const { era, view: { workerRows }, onSnapshotRequired } = this.#options;
    const rowsEra = workerRows.isRestoring ? this.#sentEra : era.current;
    if (rowsEra !== this.#sentEra) {
      this.#sentEra = rowsEra;
      workerRows.takeChanges();
      onSnapshotRequired();
    }
    return {
      era: rowsEra,
      rows: [...workerRows.takeChanges()],
      returned: workerRows.takeStoreRecovered(),
      version: workerRows.version,
    };
  }

  /**
   * Returns all rows and the instances of deregistered workers. Omits rows of such workers, which a
   * restored backup of the store may contain.
   */
  snapshot(): Pick<FleetState, 'rows' | 'withdrawn'> {
    const { workers, workerRows } = this.#options.view;
    const withdrawn = [...workers.withdrawn()];
    const ids = new Set<string>(withdrawn.map(({ id }) => id));
    return { rows: workerRows.all().filter(({ key }) => !ids.has(key)), withdrawn };
  }

  /** Applies a state sent by the holder. */
  apply(state: FleetState): void {
    const { era, view: { workers, workerRows } } = this.#options;
    era.observe(state.era);
    if (state.era !== era.current) {
      return;
    }
    if (state.returned) {
      workerRows.handleStoreRecovered();
    }
    if (state.whole) {
      workers.mergeWithdrawn(state.withdrawn);
      workerRows.handleSnapshot(state.rows.filter(({ value }) => value !== null), state.version);
    } else {
      workerRows.handleChanges(state.rows);
    }
  }
}
