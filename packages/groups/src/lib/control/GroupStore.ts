import { type Result, err, ok } from 'neverthrow';
import {
  RowVersion, ServingError, type GroupName, type TableStore, type TableTransaction,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import GroupRecord from '../plan/GroupRecord.js';

const TABLE = 'groups';

/** A record with the version of its row. */
interface StoredRecord {
  readonly record: GroupRecord;
  readonly version: RowVersion;
}

/** Records of groups, each written only over the version that this process has seen. */
export default class GroupStore {
  readonly #store: TableStore;

  readonly #log: Log;

  #records = new Map<GroupName, StoredRecord>();

  constructor(store: TableStore, log: Log) {
    this.#store = store;
    this.#log = log;
  }

  get records(): readonly GroupRecord[] {
    return [...this.#records.values()].map(({ record }) => record);
  }

  /** Reads all records. Errors: those of the table service. */
  async load(): Promise<Result<void, ServingError>> {
    const rows = await this.#store.scan(TABLE, '');
    if (rows.isErr()) {
      return err(rows.error);
    }
    this.#records = new Map();
    rows.value.forEach((row) => {
      const parsed = GroupRecord.safeParse(row.value);
      if (parsed.success) {
        this.#records.set(parsed.data.name, { record: parsed.data, version: row.version });
      } else {
        this.#log.error('Group record is invalid.', { key: row.key });
      }
    });
    return ok(undefined);
  }

  /**
   * Writes and deletes records in one transaction. Errors: `lease-lost` when another process
   * has written one of them; `store-outcome-unknown` when `load` has to tell what became of it.
   */
  async commit(
    writes: readonly GroupRecord[],
    deletions: readonly GroupName[],
  ): Promise<Result<void, ServingError>> {
    const versionOf = (name: GroupName) => this.#records.get(name)?.version ?? RowVersion.parse(0);
    const transaction: TableTransaction = {
      conditions: [...writes.map(({ name }) => name), ...deletions]
        .map((name) => ({ table: TABLE, key: name, version: versionOf(name) })),
      writes: [
        ...writes.map((record) => ({ table: TABLE, key: record.name, value: record })),
        ...deletions.map((name) => ({ table: TABLE, key: name, value: null })),
      ],
    };
    const outcome = await this.#store.commit(transaction);
    if (outcome.isErr()) {
      return err(outcome.error);
    }
    if (outcome.value.kind === 'conflict') {
      return err(new ServingError('another process has written a group record', { kind: 'lease-lost' }));
    }
    const { version } = outcome.value;
    writes.forEach((record) => this.#records.set(record.name, { record, version }));
    deletions.forEach((name) => this.#records.delete(name));
    return ok(undefined);
  }
}
