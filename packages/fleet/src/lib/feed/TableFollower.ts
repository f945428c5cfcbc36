import {
  RowVersion, type Clock, type TableChanges, type TableFeed, type TableRow,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import type RowHandler from './RowHandler.js';
import type TablePosition from './TablePosition.js';

/** Pause after the first failure, in ms; doubles with each further one. */
const FIRST_FAILURE_PAUSE_MILLISECONDS = 100;

/** Longest pause after a failure, in ms: each call is priced, and a store that is back has to be noticed. */
const LONGEST_FAILURE_PAUSE_MILLISECONDS = 400;

/** Time without an answer after which the store counts as having been away, in ms. */
const OUTAGE_MILLISECONDS = 1_000;

/**
 * Least time between two readings of a paused follower, in ms: quick changes are read together. A
 * quarter of the time in which a configuration has to be in force, the users' `config_apply_ms`.
 */
const CATCH_UP_PACE_MILLISECONDS = 750;

/** What a `TableFollower` needs from outside. */
interface TableFollowerOptions {
  readonly table: string;
  readonly feed: TableFeed;
  readonly handler: RowHandler;
  readonly clock: Clock;
  readonly log: Log;
  /** Pause between two answers, in ms: each call is priced. */
  readonly pollPauseMilliseconds: () => number;
  /** Longest wait for a change in one call, in ms. Bounds how long a silent connection goes unnoticed. */
  readonly waitMilliseconds: number;
}

/** Keeps a sink up to date with one table: a snapshot first, then its changes. */
export default class TableFollower {
  readonly #options: TableFollowerOptions;

  #version: RowVersion | null = null;

  /** Newest row that was read, deleted ones included. */
  #newestRow = RowVersion.parse(0);

  #wholeReads = 0;

  /** Returns of the store from a copy: a reading that began before one is dropped. */
  #restorations = 0;

  /** Whole readings of the other source when this follower last read, or null before it is told. */
  #toldWholeReads: number | null = null;

  #caughtUpAt = Number.NEGATIVE_INFINITY;

  #failingSince: number | null = null;

  #stopped = false;

  #paused = false;

  /** Whether a pause has ended the rounds. */
  #idle = false;

  #answeredAt = Number.NEGATIVE_INFINITY;

  #failurePause = FIRST_FAILURE_PAUSE_MILLISECONDS;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#round();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /** Stops reading while another process watches the table. */
  pause(): void {
    this.#paused = true;
  }

  /** The store has returned from a copy: positions of before say nothing, and all is read again. */
  handleStoreRestored(): void {
    this.#restorations += 1;
    this.#version = null;
    this.#newestRow = RowVersion.parse(0);
    this.#toldWholeReads = null;
    this.#options.handler.handleStoreRestored();
  }

  /** How far this follower has read, for others that are paused meanwhile. */
  get position(): TablePosition {
    return { newestRow: this.#newestRow, wholeReads: this.#wholeReads };
  }

  /** While paused: reads the table if the process that watches it has read further. */
  catchUp({ newestRow, wholeReads }: TablePosition): void {
    const { clock } = this.#options;
    const now = clock.monotonicMilliseconds();
    if (!this.#idle || now - this.#caughtUpAt < CATCH_UP_PACE_MILLISECONDS) {
      return;
    }
    if (this.#toldWholeReads !== null && wholeReads !== this.#toldWholeReads) {
      // Rows that were deleted before a whole reading are in no position.
      this.#version = null;
    }
    this.#toldWholeReads = wholeReads;
    if (this.#version === null || newestRow > this.#newestRow) {
      this.#caughtUpAt = now;
      this.#idle = false;
      void this.#round();
    }
  }

  /** Reads again, from the whole table on. */
  resume(): void {
    if (this.#paused) {
      this.#paused = false;
      this.#version = null;
      this.#toldWholeReads = null;
      if (this.#idle) {
        this.#idle = false;
        void this.#round();
      }
    }
  }

  /** Time since the store last answered, in ms. */
  get ageMilliseconds(): number {
    return this.#options.clock.monotonicMilliseconds() - this.#answeredAt;
  }

  async #round(): Promise<void> {
    const work = this.#version === null ? this.#readAll() : this.#readChanges(this.#version);
    const succeeded = await work.catch((cause: unknown) => {
      // A fault while rows are taken must not end the following of the table: it is read again.
      this.#version = null;
      this.#failed(String(cause));
      return false;
    });
    if (this.#paused) {
      this.#idle = true;
      return;
    }
    if (!this.#stopped) {
      const pause = succeeded ? this.#options.pollPauseMilliseconds() : this.#failurePause;
      this.#failurePause = succeeded ? FIRST_FAILURE_PAUSE_MILLISECONDS
        : Math.min(this.#failurePause * 2, LONGEST_FAILURE_PAUSE_MILLISECONDS);
      this.#timer = setTimeout(() => void this.#round(), pause);
    }
  }

  async #readAll(): Promise<boolean> {
    const { feed, table, handler: sink } = this.#options;
    const begun = this.#restorations;
    const snapshot = await feed.snapshot(table);
    if (begun !== this.#restorations) {
      return true;
    }
    if (snapshot.isErr()) {
      this.#failed(snapshot.error.message);
      return false;
    }
    this.#answered();
    this.#version = snapshot.value.version;
    this.#wholeReads += 1;
    this.#noteNewest(snapshot.value.rows);
    sink.handleSnapshot(snapshot.value.rows, snapshot.value.version);
    return true;
  }

  async #readChanges(after: RowVersion): Promise<boolean> {
    const { feed, table, waitMilliseconds } = this.#options;
    const begun = this.#restorations;
    const changes = await feed.changes(table, after, this.#paused ? 0 : waitMilliseconds);
    if (begun !== this.#restorations) {
      return true;
    }
    if (changes.isErr()) {
      this.#failed(changes.error.message);
      return false;
    }
    this.#answered();
    this.#take(changes.value);
    return true;
  }

  #take(changes: TableChanges): void {
    const { table, handler: sink, log } = this.#options;
    switch (changes.kind) {
      case 'changes':
        // An answer without rows does not move on: a store that has lost its history may leave rows
        // out while its version grows. Asked again for them, it says that they are lost.
        this.#version = changes.rows.at(-1)?.version ?? this.#version;
        this.#noteNewest(changes.rows);
        sink.handleChanges(changes.rows);
        break;
      case 'history-lost':
        log.warn('History of a table is lost, reading it again.', { table });
        this.#version = null;
        break;
      default:
        changes satisfies never;
    }
  }

  #noteNewest(rows: readonly TableRow[]): void {
    rows.forEach(({ version }) => {
      this.#newestRow = version > this.#newestRow ? version : this.#newestRow;
    });
  }

  #failed(reason: string): void {
    const { clock, log, table } = this.#options;
    if (this.#failingSince === null) {
      this.#failingSince = clock.monotonicMilliseconds();
      log.warn('Store lost.', { table, reason });
    }
  }

  #answered(): void {
    const {
      clock, log, table, handler: sink,
    } = this.#options;
    this.#answeredAt = clock.monotonicMilliseconds();
    if (this.#failingSince === null) {
      return;
    }
    const awayMilliseconds = Math.round(clock.monotonicMilliseconds() - this.#failingSince);
    this.#failingSince = null;
    log.info('Store regained.', { table, awayMilliseconds });
    if (awayMilliseconds >= OUTAGE_MILLISECONDS) {
      sink.handleStoreRecovered();
    }
  }
}
