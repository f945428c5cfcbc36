import type { StoreEra } from '@dandelionlane/core';
import type { FleetState } from '@dandelionlane/links';
import type FleetView from './FleetView.js';

/** What `RegistrationSharing` needs from outside. */
interface RegistrationSharingOptions {
  readonly era: StoreEra;
  readonly view: FleetView;
  /** Called when all registrations have to be told anew. */
  readonly outdated: () => void;
}

/**
 * Registrations of workers on the links: the holder of the lease tells them, the other entries take
 * them in. Rows of two eras of the store are never mixed: older ones would hide later ones.
 */
export default class RegistrationSharing {
  readonly #options: RegistrationSharingOptions;

  /** Era of the rows that were last told. */
  #toldEra: number | null = null;

  constructor(options: RegistrationSharingOptions) {
    this.#options = options;
  }

  /** What has changed since the last call. */
  changes(): Pick<FleetState, 'era' | 'rows' | 'returned' | 'version'> {
    const { era, view: { workerRows }, outdated } = this.#options;
    const present = workerRows.isRestoring ? this.#toldEra : era.current;
    if (present !== this.#toldEra) {
      this.#toldEra = present;
      workerRows.takeChanges();
      outdated();
    }
    return {
      era: present,
      rows: [...workerRows.takeChanges()],
      returned: workerRows.takeStoreRecovered(),
      version: workerRows.version,
    };
  }

  /** All rows but those that a copy of the store holds of withdrawn workers, and the withdrawn lives. */
  whole(): Pick<FleetState, 'rows' | 'withdrawn'> {
    const { workers, workerRows } = this.#options.view;
    const withdrawn = [...workers.withdrawn()];
    const ids = new Set<string>(withdrawn.map(({ id }) => id));
    return { rows: workerRows.all().filter(({ key }) => !ids.has(key)), withdrawn };
  }

  /** Takes what the holder tells. */
  take(state: FleetState): void {
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
