import { err, ok, type Result } from 'neverthrow';
import {
  ReportedRows, RowVersion, ServingError, type GroupName, type TableStore, type TableTransaction,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import GroupRecord from '../plan/GroupRecord.js';

const TABLE = 'groups';

/** Each record takes one condition and one write of the 100 entries that the platform allows. */
const MAXIMUM_RECORDS_PER_TRANSACTION = 50;

/** A record with the version of its row. A null record is pending deletion. */
interface VersionedRecord {
  readonly record: GroupRecord | null;
  readonly version: RowVersion;
  readonly isSaved: boolean;
}

/**
 * Records of groups. Changes take effect in memory at once and are saved when the store is reachable,
 * each on condition that the row still has the version that this process last read or wrote.
 */
export default class GroupStore {
  readonly #store: TableStore;

  readonly #log: Log;

  readonly #reported = new ReportedRows();

  #records = new Map<GroupName, VersionedRecord>();

  constructor(store: TableStore, log: Log) {
    this.#store = store;
    this.#log = log;
  }

  get records(): readonly GroupRecord[] {
    return [...this.#records.values()].flatMap(({ record }) => (record === null ? [] : [record]));
  }

  /** Whether all changes have been saved to the store. */
  get isSaved(): boolean {
    return [...this.#records.values()].every(({ isSaved }) => isSaved);
  }

  /** Reads all records and discards unsaved changes. Errors: those of the table service. */
  async load(): Promise<Result<void, ServingError>> {
    return (await this.#read()).andTee((records) => {
      this.#records = records;
    }).map(() => undefined);
  }

  /**
   * Merges the records in memory with a store that was restored from an older copy. Records that the
   * copy lacks, or has an older formation of, are marked to be written again; records that were deleted
   * after the copy was made are marked to be deleted again. Errors: those of the table service.
   */
  async reconcile(): Promise<Result<void, ServingError>> {
    return (await this.#read()).andTee((copied) => this.#merge(copied)).map(() => undefined);
  }

  #merge(copied: ReadonlyMap<GroupName, VersionedRecord>): void {
    const kept = this.#records;
    const newestEpoch = Math.max(0, ...this.records.map(({ epoch }) => epoch));
    const versionOf = (name: GroupName) => copied.get(name)?.version ?? RowVersion.parse(0);
    const isKnown = ([name, { record }]: [GroupName, VersionedRecord]) => record !== null || copied.has(name);
    this.#records = new Map([...kept].filter(isKnown).map(([name, { record }]) => {
      const other = copied.get(name)?.record ?? null;
      const isNewer = other !== null && other.epoch > (record?.epoch ?? newestEpoch);
      return [name, {
        record: isNewer ? other : record,
        version: versionOf(name),
        isSaved: isNewer || other?.epoch === record?.epoch,
      }];
    }));
    copied.forEach((versioned, name) => {
      if (!kept.has(name)) {
        const isNewer = versioned.record !== null && versioned.record.epoch > newestEpoch;
        this.#records.set(name, isNewer ? versioned : {
          record: null, version: versioned.version, isSaved: false,
        });
      }
    });
    const unsaved = [...this.#records.values()].filter(({ isSaved }) => !isSaved);
    this.#log.info('Group records are written again after a restoration.', {
      records: this.records.length,
      written: unsaved.filter(({ record }) => record !== null).length,
      deleted: unsaved.filter(({ record }) => record === null).length,
    });
  }

  async #read(): Promise<Result<Map<GroupName, VersionedRecord>, ServingError>> {
    const rows = await this.#store.scan(TABLE, '');
    return rows.map((read) => {
      const records = new Map<GroupName, VersionedRecord>();
      read.forEach((row) => {
        const parsed = GroupRecord.safeParse(row.value);
        if (parsed.success && parsed.data.name === row.key) {
          records.set(parsed.data.name, { record: parsed.data, version: row.version, isSaved: true });
        } else if (this.#reported.add(row)) {
          this.#log.error('Group record is invalid.', { key: row.key, row: row.version });
        }
      });
      return records;
    });
  }

  /** Applies changes in memory; `save` writes them to the store. */
  applyChanges(writes: readonly GroupRecord[], deletions: readonly GroupName[]): void {
    const versionOf = (name: GroupName) => this.#records.get(name)?.version ?? RowVersion.parse(0);
    writes.forEach((record) => {
      this.#records.set(record.name, { record, version: versionOf(record.name), isSaved: false });
    });
    deletions.forEach((name) => {
      this.#records.set(name, { record: null, version: versionOf(name), isSaved: false });
    });
  }

  /**
   * Writes all unsaved changes in transactions of limited size. Errors: `lease-lost` when another
   * process has written one of the records; those of the table service, after which a later `save`
   * continues with the rest.
   */
  async save(): Promise<Result<void, ServingError>> {
    const saved = await this.#saveBatch();
    return saved.isErr() || this.isSaved ? saved : this.save();
  }

  async #saveBatch(): Promise<Result<void, ServingError>> {
    const unsaved = [...this.#records].filter(([, { isSaved }]) => !isSaved)
      .slice(0, MAXIMUM_RECORDS_PER_TRANSACTION);
    if (unsaved.length === 0) {
      return ok(undefined);
    }
    const transaction: TableTransaction = {
      conditions: unsaved.map(([name, { version }]) => ({ table: TABLE, key: name, version })),
      writes: unsaved.map(([name, { record }]) => ({ table: TABLE, key: name, value: record })),
    };
    const outcome = await this.#store.commit(transaction);
    if (outcome.isErr()) {
      return err(outcome.error);
    }
    if (outcome.value.kind === 'conflict') {
      return this.#resolveConflict();
    }
    const { version } = outcome.value;
    unsaved.forEach(([name, { record }]) => this.#markSaved(name, record, version));
    return ok(undefined);
  }

  /** Resolves a conflict, which an earlier write of this process may have caused if its answer was lost. */
  async #resolveConflict(): Promise<Result<void, ServingError>> {
    const rows = await this.#store.scan(TABLE, '');
    if (rows.isErr()) {
      return err(rows.error);
    }
    const found = new Map(rows.value.map((row) => [row.key, row]));
    const unsaved = [...this.#records].filter(([, { isSaved }]) => !isSaved);
    const isOwnWrite = unsaved.every(([name, { record, version }]) => {
      const row = found.get(name);
      const parsed = GroupRecord.safeParse(row?.value);
      const isUntouched = (row?.version ?? 0) === version;
      const isWritten = record === null
        ? row === undefined : parsed.success && parsed.data.epoch === record.epoch;
      if (isWritten) {
        this.#markSaved(name, record, row?.version ?? RowVersion.parse(0));
      }
      return isUntouched || isWritten;
    });
    return isOwnWrite ? ok(undefined)
      : err(new ServingError('another process has written a group record', { kind: 'lease-lost' }));
  }

  #markSaved(name: GroupName, record: GroupRecord | null, version: RowVersion): void {
    if (record === null) {
      this.#records.delete(name);
    } else {
      this.#records.set(name, { record, version, isSaved: true });
    }
  }
}
