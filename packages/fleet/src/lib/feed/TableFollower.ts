import {
  ReportedRows, RowVersion, type Clock, type TableChanges, type TableFeed, type TableRow,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import type RowHandler from './RowHandler.js';
import type TablePosition from './TablePosition.js';

/** Initial backoff after a failure, in ms; doubles with each further one. */
const INITIAL_BACKOFF_MILLISECONDS = 100;

/** Minimum duration of failures that counts as an outage of the store, in ms. */
const MINIMUM_OUTAGE_MILLISECONDS = 1_000;

/**
 * Minimum interval between reads of a paused follower, in ms, which batches frequent changes. A quarter
 * of the time within which a configuration has to be in force.
 */
const MINIMUM_CATCH_UP_INTERVAL_MILLISECONDS = 750;

/** Options of `TableFollower`. */
interface TableFollowerOptions {
  readonly table: string;
  readonly feed: TableFeed;
  readonly handler: RowHandler;
  readonly clock: Clock;
  readonly log: Log;
  /** Pause between an answer and the next call, in ms: each call has a cost. */
  readonly pollPauseMilliseconds: () => number;
  /** Maximum backoff after failures, in ms: each call has a cost, also to a store that is unavailable. */
  readonly maximumBackoffMilliseconds: () => number;
  /** Maximum wait of a long poll, in ms, which bounds how long a dead connection goes unnoticed. */
  readonly waitMilliseconds: number;
}

/** Follows one table and passes a snapshot, then changes, to a handler. */
export default class TableFollower {
  readonly #options: TableFollowerOptions;

  #version: RowVersion | null = null;

  readonly #reported = new ReportedRows();

  /** Version of the newest row that was read, including deleted ones. */
  #newestRow = RowVersion.parse(0);

  #wholeReads = 0;

  /** Number of restorations of the store: a read that began before the latest one is discarded. */
  #restorations = 0;

  /** Last known `wholeReads` of the process that watches the table, or null if unknown. */
  #knownWholeReads: number | null = null;

  #caughtUpAt = Number.NEGATIVE_INFINITY;

  #failingSince: number | null = null;

  #isStopped = false;

  #isPaused = false;

  /** Whether polling has stopped because of a pause. */
  #isIdle = false;

  #answeredAt = Number.NEGATIVE_INFINITY;

  #backoff = INITIAL_BACKOFF_MILLISECONDS;

  /** Timer of the next call; null while a call is under way. */
  #timer: NodeJS.Timeout | null = null;

  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#round();
  }

  /** Starts paused: the table is read once the pause ends, or to catch up. */
  startPaused(): void {
    this.#isPaused = true;
    this.#isIdle = true;
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelNext();
  }

  /** Stops reading while another process watches the table, without the next call, which has a cost. */
  pause(): void {
    this.#isPaused = true;
    if (this.#cancelNext()) {
      this.#isIdle = true;
    }
  }

  /** Makes the next call now, without a wait for changes, as this process is about to watch for others. */
  refresh(): void {
    if (this.#cancelNext()) {
      void this.#round(0);
    } else if (!this.#isIdle && this.#version !== null) {
      // A long poll is under way. A second one with the same position may only bring the same rows again.
      void this.#readChanges(this.#version, 0).catch(() => undefined);
    }
  }

  /** Reads the whole table again after a restoration of the store, which invalidates earlier positions. */
  handleStoreRestored(): void {
    this.#restorations += 1;
    this.#version = null;
    this.#newestRow = RowVersion.parse(0);
    this.#knownWholeReads = null;
    this.#options.handler.handleStoreRestored();
  }

  /** Position of this follower, for followers in other processes that are paused. */
  get position(): TablePosition {
    return { newestRow: this.#newestRow, wholeReads: this.#wholeReads };
  }

  /** Whether all rows up to a position of the process that watches the table have been handled here, too. */
  isAt({ newestRow, wholeReads }: TablePosition): boolean {
    return this.#version !== null && newestRow <= this.#newestRow && wholeReads === this.#knownWholeReads;
  }

  /** Takes over the position of the process that watches the table, with its rows, unless it is behind. */
  adopt({ newestRow, wholeReads }: TablePosition): void {
    this.#version = this.#version !== null && this.#version > newestRow ? this.#version : newestRow;
    this.#newestRow = newestRow > this.#newestRow ? newestRow : this.#newestRow;
    this.#knownWholeReads = wholeReads;
  }

  /** While paused: reads the table if the process that watches it is further ahead. */
  catchUp({ newestRow, wholeReads }: TablePosition): void {
    const { clock } = this.#options;
    const now = clock.monotonicMilliseconds();
    if (!this.#isIdle || now - this.#caughtUpAt < MINIMUM_CATCH_UP_INTERVAL_MILLISECONDS) {
      return;
    }
    if (this.#knownWholeReads !== null && wholeReads !== this.#knownWholeReads) {
      // Deletions before a read of the whole table are not reflected in the position.
      this.#version = null;
    }
    this.#knownWholeReads = wholeReads;
    if (this.#version === null || newestRow > this.#newestRow) {
      this.#caughtUpAt = now;
      this.#isIdle = false;
      void this.#round();
    }
  }

  /**
   * Ends a pause and reads on from the last position: the process that watches the table is late, and what
   * it sends later continues that position.
   */
  resumeFromPosition(): void {
    this.#resume();
  }

  /** Ends a pause and reads the whole table again. */
  resume(): void {
    if (this.#isPaused) {
      this.#version = null;
      this.#knownWholeReads = null;
      this.#resume();
    }
  }

  #resume(): void {
    if (this.#isPaused) {
      this.#isPaused = false;
      if (this.#isIdle) {
        this.#isIdle = false;
        void this.#round();
      }
    }
  }

  /** Time since the store last answered, in ms. */
  get ageMilliseconds(): number {
    return this.#options.clock.monotonicMilliseconds() - this.#answeredAt;
  }

  /** Cancels the next call; returns whether one was waiting for its time. */
  #cancelNext(): boolean {
    const isWaiting = this.#timer !== null;
    clearTimeout(this.#timer ?? undefined);
    this.#timer = null;
    return isWaiting;
  }

  async #round(waitMilliseconds = this.#options.waitMilliseconds): Promise<void> {
    this.#timer = null;
    const work = this.#version === null
      ? this.#readAll() : this.#readChanges(this.#version, this.#isPaused ? 0 : waitMilliseconds);
    const succeeded = await work.catch((cause: unknown) => {
      // An exception while rows are handled must not stop the follower: it reads the table again.
      this.#version = null;
      this.#recordFailure(String(cause));
      return false;
    });
    if (this.#isPaused) {
      this.#isIdle = true;
      return;
    }
    if (!this.#isStopped) {
      const pause = succeeded ? this.#options.pollPauseMilliseconds() : this.#backoff;
      this.#backoff = succeeded ? INITIAL_BACKOFF_MILLISECONDS
        : Math.min(this.#backoff * 2, this.#options.maximumBackoffMilliseconds());
      this.#timer = setTimeout(() => void this.#round(), pause);
    }
  }

  async #readAll(): Promise<boolean> {
    const { feed, table, handler } = this.#options;
    const restorations = this.#restorations;
    const snapshot = await feed.snapshot(table);
    if (restorations !== this.#restorations) {
      return true;
    }
    if (snapshot.isErr()) {
      this.#recordFailure(snapshot.error.message);
      return false;
    }
    this.#recordAnswer();
    this.#version = snapshot.value.version;
    this.#wholeReads += 1;
    this.#recordNewest(snapshot.value.rows);
    handler.handleSnapshot(this.#withKeys(snapshot.value.rows), snapshot.value.version);
    return true;
  }

  async #readChanges(after: RowVersion, waitMilliseconds: number): Promise<boolean> {
    const { feed, table } = this.#options;
    const restorations = this.#restorations;
    const changes = await feed.changes(table, after, waitMilliseconds);
    if (restorations !== this.#restorations) {
      return true;
    }
    if (changes.isErr()) {
      this.#recordFailure(changes.error.message);
      return false;
    }
    this.#recordAnswer();
    this.#apply(changes.value);
    return true;
  }

  #apply(changes: TableChanges): void {
    const { table, handler, log } = this.#options;
    switch (changes.kind) {
      case 'changes':
        // An empty answer does not advance the position: a store that has lost its history may omit rows
        // while its version grows. The next call for the same changes reports the lost history.
        this.#version = changes.rows.at(-1)?.version ?? this.#version;
        this.#recordNewest(changes.rows);
        handler.handleChanges(this.#withKeys(changes.rows));
        break;
      case 'history-lost':
        log.warn('History of a table is lost, reading it again.', { table });
        this.#version = null;
        break;
      default:
        changes satisfies never;
    }
  }

  /** Leaves out rows with an empty key, which name nothing and cannot be sent over the links. */
  #withKeys(rows: readonly TableRow[]): readonly TableRow[] {
    const keyless = rows.filter((row) => row.key === '');
    keyless.filter((row) => this.#reported.add(row)).forEach(({ version }) => {
      this.#options.log.warn('Row without a key is ignored.', { table: this.#options.table, row: version });
    });
    return keyless.length === 0 ? rows : rows.filter(({ key }) => key !== '');
  }

  #recordNewest(rows: readonly TableRow[]): void {
    rows.forEach(({ version }) => {
      this.#newestRow = version > this.#newestRow ? version : this.#newestRow;
    });
  }

  #recordFailure(reason: string): void {
    const { clock, log, table } = this.#options;
    if (this.#failingSince === null) {
      this.#failingSince = clock.monotonicMilliseconds();
      log.warn('Store lost.', { table, reason });
    }
  }

  #recordAnswer(): void {
    const {
      clock, log, table, handler,
    } = this.#options;
    this.#answeredAt = clock.monotonicMilliseconds();
    if (this.#failingSince === null) {
      return;
    }
    const awayMilliseconds = Math.round(clock.monotonicMilliseconds() - this.#failingSince);
    this.#failingSince = null;
    log.info('Store regained.', { table, awayMilliseconds });
    if (awayMilliseconds >= MINIMUM_OUTAGE_MILLISECONDS) {
      handler.handleStoreRecovered();
    }
  }
}
