import { errAsync, type ResultAsync } from 'neverthrow';
import {
  ServingError, type Clock, type RandomSource, type RowVersion, type StoreEra, type TableChanges,
  type TableFeed, type TableRow, type TableRowKey, type TableSnapshot, type TableStore, type TableTransaction,
  type TransactionOutcome,
} from '@dandelionlane/core';

/** Longest time between the first failure and the next call, in ms; doubles with each further failure. */
const INITIAL_BACKOFF_MILLISECONDS = 100;

/**
 * Time for which other calls wait for the one that is under way, in ms: a call without an answer has ended by
 * then, and one whose rows still arrive shows that the store is back.
 */
const PROBE_MILLISECONDS = 900;

/** Share of a backoff that is drawn at random: otherwise all entries would call at once. */
const RANDOM_SHARE = 0.5;

/** Dependencies and settings of a `StoreBackoff`. */
interface StoreBackoffOptions {
  readonly store: TableStore;
  readonly feed: TableFeed;
  readonly era: StoreEra;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Longest time between two calls to a store that does not answer, in ms. */
  readonly maximumBackoffMilliseconds: () => number;
  /** Whether reads of single rows are always sent, as the holder of the lease has to know its own row. */
  readonly isLeading: () => boolean;
}

/**
 * Reads the store on behalf of all parts of an entry, and asks one that is away seldom: each call has a cost,
 * also one in vain. After a failure a single call at a time is sent, with a growing random pause in between;
 * the other ones fail at once with `store-unavailable`, and may be repeated often. Any answer ends this.
 *
 * Writes are always sent: their callers know whether a repetition is of use.
 */
export default class StoreBackoff implements TableStore, TableFeed {
  readonly #options: StoreBackoffOptions;

  /** Pause after the next failure, in ms; null while the store answers. */
  #backoff: number | null = null;

  /** Monotonic time from which the next call may be sent while the store is away, in ms. */
  #nextCallAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time at which the only call to a store that is away was sent, in ms; null without one. */
  #probeSentAt: number | null = null;

  constructor(options: StoreBackoffOptions) {
    this.#options = options;
  }

  read(keys: readonly TableRowKey[]): ResultAsync<readonly TableRow[], ServingError> {
    const { store, isLeading } = this.#options;
    return isLeading() ? this.#observe(store.read(keys)) : this.#send(() => store.read(keys));
  }

  scan(table: string, prefix: string): ResultAsync<readonly TableRow[], ServingError> {
    return this.#send(() => this.#options.store.scan(table, prefix));
  }

  snapshot(table: string): ResultAsync<TableSnapshot, ServingError> {
    return this.#send(() => this.#options.feed.snapshot(table));
  }

  /** While the store is away there is no wait for changes: an answer at once shows that it is back. */
  changes(
    table: string,
    after: RowVersion,
    waitMilliseconds: number,
  ): ResultAsync<TableChanges, ServingError> {
    return this.#send((isProbe) => this.#options.feed.changes(table, after, isProbe ? 0 : waitMilliseconds));
  }

  commit(transaction: TableTransaction): ResultAsync<TransactionOutcome, ServingError> {
    return this.#observe(this.#options.store.commit(transaction));
  }

  /** Records an answer. A failure of a call that is always sent says nothing about when to send others. */
  #observe<Answer>(call: ResultAsync<Answer, ServingError>): ResultAsync<Answer, ServingError> {
    return call.andTee(() => this.#recordAnswer());
  }

  #send<Answer>(
    call: (isProbe: boolean) => ResultAsync<Answer, ServingError>,
  ): ResultAsync<Answer, ServingError> {
    const { clock, era } = this.#options;
    const isProbe = this.#backoff !== null;
    const now = clock.monotonicMilliseconds();
    const isProbing = this.#probeSentAt !== null && now - this.#probeSentAt < PROBE_MILLISECONDS;
    if (isProbe && (isProbing || now < this.#nextCallAt)) {
      return errAsync(new ServingError('store is away', { kind: 'store-unavailable' }));
    }
    this.#probeSentAt = isProbe ? now : null;
    const eraAtStart = era.current;
    return call(isProbe)
      .andTee(() => this.#recordAnswer())
      .orTee(({ kind }) => {
        const hasAnswered = kind !== 'store-unavailable' || era.current !== eraAtStart;
        if (hasAnswered) {
          this.#recordAnswer();
        } else if (isProbe || this.#backoff === null) {
          this.#recordFailure();
        }
      });
  }

  #recordAnswer(): void {
    this.#backoff = null;
    this.#probeSentAt = null;
  }

  #recordFailure(): void {
    const { clock, random, maximumBackoffMilliseconds } = this.#options;
    const backoff = Math.min(this.#backoff ?? INITIAL_BACKOFF_MILLISECONDS, maximumBackoffMilliseconds());
    this.#probeSentAt = null;
    this.#nextCallAt = clock.monotonicMilliseconds()
      + backoff * (1 - RANDOM_SHARE * random.next());
    this.#backoff = backoff * 2;
  }
}
