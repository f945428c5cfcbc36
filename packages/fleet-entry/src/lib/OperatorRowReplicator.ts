import type { RowVersion, StoreEra } from '@dandelionlane/core';
import type { FleetState } from '@dandelionlane/links';
import type FleetView from './FleetView.js';
import MAXIMUM_REPORTED_MILLISECONDS from './MAXIMUM_REPORTED_MILLISECONDS.js';

/** Options of an `OperatorRowReplicator`. */
interface OperatorRowReplicatorOptions {
  readonly era: StoreEra;
  readonly view: Pick<FleetView, 'operatorRows' | 'operatorFollower'>;
}

/**
 * Replicates the operators' table over the links, so that a change of the configuration costs one read of
 * the store instead of one at each entry, and reaches entries that the store turns away.
 */
export default class OperatorRowReplicator {
  readonly #options: OperatorRowReplicatorOptions;

  /** Newest row in the last message, or null. */
  #sentNewestRow: RowVersion | null = null;

  /** Number of reads of the whole table at the last message, or null. */
  #sentWholeReads: number | null = null;

  constructor(options: OperatorRowReplicatorOptions) {
    this.#options = options;
  }

  /** Returns the changes since the last call; all rows after a read of the whole table, for its deletions. */
  takeChanges(): FleetState['operators'] {
    const { operatorRows, operatorFollower: { position } } = this.#options.view;
    const changes = operatorRows.takeChanges();
    const after = this.#sentNewestRow;
    const isReadAgain = this.#sentWholeReads !== null && this.#sentWholeReads !== position.wholeReads;
    this.#sentNewestRow = position.newestRow;
    this.#sentWholeReads = position.wholeReads;
    if (operatorRows.isRestoring) {
      return { ...this.#describe(), after: null };
    }
    return isReadAgain ? this.snapshot() : { ...this.#describe(), rows: [...changes], after };
  }

  /** Returns all rows. */
  snapshot(): FleetState['operators'] {
    const { operatorRows } = this.#options.view;
    return operatorRows.isRestoring ? this.#describe() : {
      ...this.#describe(), rows: operatorRows.all().filter(({ value }) => value !== null), whole: true,
    };
  }

  /** Forgets what was sent, after the links have been closed. */
  reset(): void {
    this.#options.view.operatorRows.takeChanges();
    this.#sentNewestRow = null;
    this.#sentWholeReads = null;
  }

  /**
   * Applies the rows that the holder has sent. The table is read where they do not continue what is known
   * here.
   * @param isFresh Whether the holder still follows the table, so that this process need not.
   */
  apply({ era: sentEra, operators }: FleetState, isFresh: boolean): void {
    const { era, view: { operatorRows, operatorFollower } } = this.#options;
    if (sentEra !== era.current) {
      return;
    }
    const { rows, whole, after } = operators;
    const isContinuation = after !== null
      && operatorFollower.isAt({ newestRow: after, wholeReads: operators.wholeReads });
    if (whole) {
      operatorRows.handleSnapshot(rows, operators.version);
    } else if (isContinuation && rows.length > 0) {
      operatorRows.handleChanges(rows);
    }
    // The first state of a new holder is old at times. Without its position, the rows of the next one would
    // not continue what is known, and this process might not be able to read them itself.
    if (whole || isContinuation) {
      operatorFollower.adopt(operators);
    }
    if (isFresh) {
      operatorFollower.catchUp(operators);
    }
  }

  /** Position of this process, without rows. */
  #describe(): FleetState['operators'] {
    const { operatorRows, operatorFollower } = this.#options.view;
    return {
      ...operatorFollower.position,
      version: operatorRows.version,
      ageMilliseconds: Math.round(
        Math.min(operatorFollower.ageMilliseconds, MAXIMUM_REPORTED_MILLISECONDS),
      ),
      rows: [],
      whole: false,
      after: null,
    };
  }
}
