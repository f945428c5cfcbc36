import { err, ok, type Result } from 'neverthrow';
import {
  RowVersion, ServingError, type GroupName, type TableStore, type TableTransaction,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import GroupRecord from '../plan/GroupRecord.js';

const TABLE = 'groups';

/** Records of one transaction: each is a condition and a write of the 100 that the platform allows. */
const MAXIMUM_RECORDS_PER_TRANSACTION = 50;

/** A record with the version of its row. A record of null is to be deleted. */
interface VersionedRecord {
  readonly record: GroupRecord | null;
  readonly version: RowVersion;
  readonly isSaved: boolean;
}

/**
 * Records of groups. Changes count at once and are saved as soon as the store can be reached,
 * each only over the version that this process has seen.
 */
export default class GroupStore {
  readonly #store: TableStore;

  readonly #log: Log;

  #records = new Map<GroupName, VersionedRecord>();

  constructor(store: TableStore, log: Log) {
    this.#store = store;
    this.#log = log;
  }

  get records(): readonly GroupRecord[] {
    return [...this.#records.values()].flatMap(({ record }) => (record === null ? [] : [record]));
  }

  /** Whether all changes are in the store. */
  get isSaved(): boolean {
    return [...this.#records.values()].every(({ isSaved }) => isSaved);
  }

  /** Reads all records and forgets unsaved changes. Errors: those of the table service. */
  async load(): Promise<Result<void, ServingError>> {
    return (await this.#read()).andTee((records) => {
      this.#records = records;
    }).map(() => undefined);
  }

  /**
   * After the store has returned from a copy: keeps the records that this process had, and has those
   * written again that the copy lacks or holds an older formation of. Records that were deleted since
   * the copy was made are deleted again. Errors: those of the table service.
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
        if (parsed.success) {
          records.set(parsed.data.name, { record: parsed.data, version: row.version, isSaved: true });
        } else {
          this.#log.error('Group record is invalid.', { key: row.key });
        }
      });
      return records;
    });
  }

  /** Takes changes over; `save` writes them. */
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
   * Writes all unsaved changes, as many in a transaction as it may hold. Errors: `lease-lost` when
   * another process has written one of the records; those of the table service, when a later `save`
   * goes on with the rest.
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

  /** After a conflict: an earlier write of this process, whose answer was lost, may have been done. */
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
