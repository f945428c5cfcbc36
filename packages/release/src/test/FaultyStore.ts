import {
  MemoryTableStore, ServingError, type TableRow, type TableRowKey, type TableStore, type TableTransaction,
  type TransactionOutcome,
} from '@dandelionlane/core';
import {
  err, ok, type Result, ResultAsync,
} from 'neverthrow';
import type Fault from './Fault.js';
import unwrap from './unwrap.js';

const unavailable = new ServingError('table service is down', { kind: 'store-unavailable' });
const lost = new ServingError('answer was lost', { kind: 'store-outcome-unknown' });

/**
 * A table store that injects the next fault of a script into each call. Stale reads are
 * served by a replica that applies a transaction only when the next write commits.
 */
export default class FaultyStore implements TableStore {
  readonly #current = new MemoryTableStore();

  readonly #lagging = new MemoryTableStore();

  #notYetReplicated: TableTransaction[] = [];

  #delayed: TableTransaction[] = [];

  readonly #pause: () => Promise<unknown>;

  faults: Fault[] = [];

  /** `pause` runs before each call, so that a test can interleave the calls of several publishers. */
  constructor(pause: () => Promise<unknown> = () => Promise.resolve()) {
    this.#pause = pause;
  }

  read(keys: readonly TableRowKey[]): ResultAsync<readonly TableRow[], ServingError> {
    return new ResultAsync(this.#pause().then(() => {
      const fault = this.faults.shift();
      if (fault === 'unavailable') {
        return err(unavailable);
      }
      return fault === 'stale' ? this.#lagging.read(keys) : this.#current.read(keys);
    }));
  }

  scan(table: string, prefix: string): ResultAsync<readonly TableRow[], ServingError> {
    return this.#current.scan(table, prefix);
  }

  commit(transaction: TableTransaction): ResultAsync<TransactionOutcome, ServingError> {
    return new ResultAsync(this.#pause().then(() => this.#commit(transaction, this.faults.shift())));
  }

  async #commit(
    transaction: TableTransaction,
    fault: Fault | undefined,
  ): Promise<Result<TransactionOutcome, ServingError>> {
    const delayed = this.#delayed.splice(0);
    switch (fault) {
      case 'unavailable':
        this.#delayed = delayed;
        return err(unavailable);
      case 'lost-before':
        return err(lost);
      case 'late':
        this.#delayed = [...delayed, transaction];
        return err(lost);
      case 'lost-after':
        await this.#apply(transaction);
        return err(lost);
      default: {
        // Delayed transactions take effect just before the next one that is answered.
        for (const earlier of delayed) {
          await this.#apply(earlier);
        }
        return ok(await this.#apply(transaction));
      }
    }
  }

  async #apply(transaction: TableTransaction): Promise<TransactionOutcome> {
    const outcome = unwrap(await this.#current.commit(transaction));
    if (outcome.kind === 'committed') {
      await this.#advanceLagging(transaction);
    }
    return outcome;
  }

  /** Transactions without writes are applied too, to keep the row versions of both stores equal. */
  async #advanceLagging(transaction: TableTransaction): Promise<void> {
    const earlier = transaction.writes.length > 0 ? this.#notYetReplicated.splice(0) : [];
    await Promise.all(earlier.map((pending) => this.#lagging.commit(pending)));
    this.#notYetReplicated.push(transaction);
  }
}
