import {
  repeatWork, type AvailabilityZoneId, type Clock, type EntryId, type RowVersion, type TableStore,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import EntryRecord from './EntryRecord.js';

const TABLE = 'entries';

/** Time between two heartbeats, in ms. */
const HEARTBEAT_MILLISECONDS = 1_000;

/** Silence after which an entry counts as ended, in ms: three heartbeats may be lost. */
const SILENCE_MILLISECONDS = 3_200;

/** An entry as this process last saw its row. */
interface SeenEntry {
  readonly record: EntryRecord;
  readonly version: RowVersion;
  /** Monotonic time at which this version was first seen, in ms. */
  readonly seenAt: number;
}

/** What an `EntryRegistry` needs from outside. */
interface EntryRegistryOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly entry: EntryId;
  readonly zone: AvailabilityZoneId;
  readonly callerAddress: string;
  readonly isReady: () => boolean;
}

/** Heartbeats of all entries in the platform's store, and which of them live. */
export default class EntryRegistry {
  readonly #options: EntryRegistryOptions;

  #seen = new Map<EntryId, SeenEntry>();

  #beat = 0;

  /** Monotonic time at which reading began to succeed again; silence counts from there. */
  #readableSince: number | null = null;

  #stop: (() => Promise<void>) | null = null;

  constructor(options: EntryRegistryOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stop = repeatWork(() => this.#round(), HEARTBEAT_MILLISECONDS);
  }

  /** Ends the heartbeats and deletes the own row. */
  async stop(): Promise<void> {
    await this.#stop?.();
    const { store, entry, log } = this.#options;
    const deletion = { table: TABLE, key: entry, value: null };
    const outcome = await store.commit({ conditions: [], writes: [deletion] });
    if (outcome.isErr()) {
      log.warn('Own entry row was not deleted.', { reason: outcome.error.message });
    }
  }

  /** Writes the own row at once, after a change of readiness. */
  async announce(): Promise<void> {
    const {
      store, entry, zone, callerAddress, isReady, log,
    } = this.#options;
    this.#beat += 1;
    const record: EntryRecord = {
      entry, zone, callerAddress, ready: isReady(), beat: this.#beat,
    };
    const write = { table: TABLE, key: entry, value: record };
    const outcome = await store.commit({ conditions: [], writes: [write] });
    if (outcome.isErr()) {
      log.debug('Heartbeat was not written.', { reason: outcome.error.message });
    }
  }

  /** Live entries, this one included; at least 1. */
  count(): number {
    return Math.max(1, this.#live().length);
  }

  /** Addresses of the entries that callers may be sent to. */
  readyAddresses(): readonly string[] {
    const { callerAddress, isReady, entry } = this.#options;
    const others = this.#live()
      .filter(({ record }) => record.entry !== entry && record.ready)
      .map(({ record }) => record.callerAddress);
    return isReady() ? [callerAddress, ...others] : others;
  }

  #live(): readonly SeenEntry[] {
    const now = this.#options.clock.monotonicMilliseconds();
    const since = this.#readableSince;
    return [...this.#seen.values()].filter(({ seenAt }) => (
      since === null || now - Math.max(seenAt, since) < SILENCE_MILLISECONDS
    ));
  }

  async #round(): Promise<void> {
    const { store, clock, log } = this.#options;
    const [, rows] = await Promise.all([this.announce(), store.scan(TABLE, '')]);
    if (rows.isErr()) {
      this.#readableSince = null;
      return;
    }
    const now = clock.monotonicMilliseconds();
    this.#readableSince ??= now;
    const seen = new Map<EntryId, SeenEntry>();
    rows.value.forEach((row) => {
      const parsed = EntryRecord.safeParse(row.value);
      if (!parsed.success) {
        log.warn('Entry row is invalid.', { key: row.key });
        return;
      }
      const previous = this.#seen.get(parsed.data.entry);
      const unchanged = previous !== undefined && previous.version === row.version;
      const fresh = { record: parsed.data, version: row.version, seenAt: now };
      seen.set(parsed.data.entry, unchanged ? previous : fresh);
    });
    this.#seen = seen;
  }
}
