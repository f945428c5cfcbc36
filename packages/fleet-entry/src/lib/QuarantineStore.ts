import {
  ReportedRows, type Clock, type TableStore, type TableWrite,
} from '@dandelionlane/core';
import type { PartEvidence, PromptQuarantine } from '@dandelionlane/gateway';
import type { Log } from '@dandelionlane/telemetry';
import QuarantineRow from './QuarantineRow.js';

const TABLE = 'quarantine';

/** Pause between two calls to the store, in ms. */
const PERIOD_MILLISECONDS = 1_000;

/** Time after a read that failed, in ms: `StoreBackoff` sends few of them. */
const RETRY_PERIOD_MILLISECONDS = 200;

/** Rows written in one transaction: the platform allows 100 entries. */
const MAXIMUM_WRITES = 100;

/** Dependencies of a `QuarantineStore`. */
interface QuarantineStoreOptions {
  readonly store: TableStore;
  readonly quarantine: PromptQuarantine;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Keeps the quarantined parts of prompts in the platform's store: for entries whose links are down, and for
 * the time after a restart of all entries. The holder of the lease writes a row when a part is quarantined,
 * crashes another target, or is released.
 */
export default class QuarantineStore {
  readonly #options: QuarantineStoreOptions;

  /** Numbers of crashes in the rows that this process has read or written, by key. */
  readonly #saved = new Map<string, number>();

  readonly #reported = new ReportedRows();

  #calledAt = Number.NEGATIVE_INFINITY;

  #isCalling = false;

  #readAt = Number.NEGATIVE_INFINITY;

  /** Whether the last read failed. */
  #hasFailed = false;

  /** Whether the rows are known, so that this process may write them. */
  #isLoaded = false;

  constructor(options: QuarantineStoreOptions) {
    this.#options = options;
  }

  /** Time since the rows were last read, in ms. */
  get ageMilliseconds(): number {
    return this.#options.clock.monotonicMilliseconds() - this.#readAt;
  }

  /** Reads the rows, at most once a second. Called while the link to the holder is down. */
  async load(): Promise<void> {
    await this.#callOnce(() => this.#read());
  }

  /** Writes what has changed, at most once a second. Called by the holder of the lease. */
  async save(): Promise<void> {
    if (!this.#isLoaded || this.#listWrites().length > 0) {
      await this.#callOnce(() => (this.#isLoaded ? this.#write() : this.#read()));
    }
  }

  /** Reads the rows again before the next write: a term begins, or the store has returned from a copy. */
  forgetRows(): void {
    this.#saved.clear();
    this.#isLoaded = false;
  }

  async #callOnce(call: () => Promise<void>): Promise<void> {
    const now = this.#options.clock.monotonicMilliseconds();
    const period = this.#hasFailed ? RETRY_PERIOD_MILLISECONDS : PERIOD_MILLISECONDS;
    if (this.#isCalling || now - this.#calledAt < period) {
      return;
    }
    this.#calledAt = now;
    this.#isCalling = true;
    try {
      await call();
    } finally {
      this.#isCalling = false;
    }
  }

  async #read(): Promise<void> {
    const { store, quarantine, log } = this.#options;
    const rows = await store.scan(TABLE, '');
    this.#hasFailed = rows.isErr();
    if (rows.isErr()) {
      log.debug('Quarantined parts were not read.', { reason: rows.error.message });
      return;
    }
    this.#readAt = this.#options.clock.monotonicMilliseconds();
    this.#isLoaded = true;
    this.#saved.clear();
    const evidence = rows.value.flatMap(({ key, value, version }) => {
      const parsed = QuarantineRow.safeParse(value);
      if (!parsed.success) {
        if (this.#reported.add({ key, version })) {
          log.error('Row of a quarantined part is invalid.', { key, row: version });
        }
        return [];
      }
      this.#saved.set(key, parsed.data.crashes.length);
      return [this.#toEvidence(parsed.data)];
    });
    quarantine.merge(evidence, { ageMilliseconds: 0, forwards: true });
  }

  async #write(): Promise<void> {
    const { store, log } = this.#options;
    const writes = this.#listWrites().slice(0, MAXIMUM_WRITES);
    const outcome = await store.commit({ conditions: [], writes });
    if (outcome.isErr()) {
      log.warn('Quarantined parts were not written.', { reason: outcome.error.message });
      return;
    }
    writes.forEach(({ key, value }) => {
      if (value === null) {
        this.#saved.delete(key);
      } else {
        this.#saved.set(key, (value as QuarantineRow).crashes.length);
      }
    });
    log.info('Quarantined parts were written.', { parts: writes.map(({ key }) => key).join(' ') });
  }

  /** Rows that differ from what the store has; null values of parts that were released. */
  #listWrites(): readonly TableWrite[] {
    const quarantined = this.#options.quarantine.quarantined();
    const parts = new Set<string>(quarantined.map(({ part }) => part));
    return [
      ...quarantined.filter(({ part, crashes }) => this.#saved.get(part) !== crashes.length)
        .map((evidence) => ({ table: TABLE, key: evidence.part, value: this.#toRow(evidence) })),
      ...[...this.#saved.keys()].filter((key) => !parts.has(key))
        .map((key) => ({ table: TABLE, key, value: null })),
    ];
  }

  #toRow({ part, crashes }: PartEvidence): QuarantineRow {
    const now = this.#options.clock.now().getTime();
    return {
      part,
      crashes: crashes.map(({ ageMilliseconds, ...process }) => ({
        ...process, crashedAt: now - ageMilliseconds,
      })),
    };
  }

  #toEvidence({ part, crashes }: QuarantineRow): PartEvidence {
    const now = this.#options.clock.now().getTime();
    return {
      part,
      // The clocks of two entries may differ.
      crashes: crashes.map(({ crashedAt, ...process }) => ({
        ...process, ageMilliseconds: Math.max(0, now - crashedAt),
      })),
      servedAgeMilliseconds: null,
    };
  }
}
