import {
  isFarStronger, repeatWork, type AvailabilityZoneId, type Clock, type EntryId, type RandomSource,
  type TableStore,
} from '@dandelionlane/core';
import { logRoundFailure, type Log } from '@dandelionlane/telemetry';
import EntryRecord from './EntryRecord.js';
import type LiveEntry from './LiveEntry.js';
import type ObservedEntry from './ObservedEntry.js';
import applyHolderHeartbeats from './applyHolderHeartbeats.js';

const TABLE = 'entries';

/** Time between two heartbeats, in ms. */
const HEARTBEAT_MILLISECONDS = 1_000;

/**
 * Silence after which an entry counts as ended, in ms: above the time between two heartbeats and a
 * slow answer of the store. With the silence of a link, a heartbeat of the holder and a round before
 * it, an entry that ended is named for 6 s at most.
 */
const SILENCE_MILLISECONDS = 2_600;

/** Silence after which an entry no longer counts for what all entries share, in ms. */
const ENDED_MILLISECONDS = 2 * SILENCE_MILLISECONDS;

/**
 * Time over which entries write their rows again after the store has returned from a copy, in ms: all
 * of a large fleet would otherwise do so at once.
 */
const REWRITE_SPREAD_MILLISECONDS = 3_000;

/** What an `EntryRegistry` needs from outside. */
interface EntryRegistryOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly entry: EntryId;
  readonly zone: AvailabilityZoneId;
  readonly callerAddress: string;
  readonly linkAddress: string;
  /** Processor time that this entry may use, in cores. */
  readonly processorCores: number;
  readonly isReady: () => boolean;
  /** Entries by the link to the holder of the lease; null while there is none. */
  readonly reportedByHolder: () => readonly LiveEntry[] | null;
  /** Entries that are linked to this one, while it holds the lease. */
  readonly attached: () => readonly EntryId[];
  readonly random: RandomSource;
}

/**
 * Rows of the entries in the platform's store, and which entries live. An entry that is linked to
 * the holder of the lease writes no heartbeats: the holder's row names it.
 */
export default class EntryRegistry {
  readonly #options: EntryRegistryOptions;

  #seen = new Map<EntryId, ObservedEntry>();

  readonly #lostAt = new Map<EntryId, number>();

  #beat = 0;

  /** Readiness that the own row tells, or null before it is written. */
  #writtenReady: boolean | null = null;

  /** Whether the last round read the rows. */
  #reading = false;

  /** Monotonic time of the last round that did not read the rows, or null; silence counts from there. */
  #unreadAt: number | null = null;

  /** Monotonic time from which the own row is to be written again, in ms; null where it is there. */
  #rewriteAt: number | null = null;

  /** Whether versions of rows are of before the store returned from a copy. */
  #restored = false;

  #stop: (() => Promise<void>) | null = null;

  constructor(options: EntryRegistryOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stop = repeatWork(() => this.#round(), HEARTBEAT_MILLISECONDS, logRoundFailure(this.#options.log));
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

  /**
   * The store has returned from a copy. Rows that it brings back are no signs of life, and the own row
   * is written again.
   */
  restored(): void {
    const { clock, random } = this.#options;
    this.#restored = true;
    this.#rewriteAt = clock.monotonicMilliseconds() + random.next() * REWRITE_SPREAD_MILLISECONDS;
  }

  /** Writes the own row at once, after a change of readiness. */
  async announce(): Promise<void> {
    const {
      store, entry, zone, callerAddress, linkAddress, processorCores, isReady, attached, log,
    } = this.#options;
    this.#beat += 1;
    const ready = isReady();
    const record: EntryRecord = {
      entry,
      zone,
      callerAddress,
      linkAddress,
      processorCores,
      ready,
      beat: this.#beat,
      linked: [...attached()],
    };
    const write = { table: TABLE, key: entry, value: record };
    const outcome = await store.commit({ conditions: [], writes: [write] });
    if (outcome.isErr()) {
      log.debug('Heartbeat was not written.', { reason: outcome.error.message });
      return;
    }
    this.#writtenReady = ready;
    this.#rewriteAt = null;
  }

  /** Entries that may live, this one included; at least 1. What all share is split by it. */
  count(): number {
    return Math.max(1, this.#options.reportedByHolder()?.length ?? this.#live(ENDED_MILLISECONDS).length);
  }

  /** Live entries by their rows, without the entries whose link has ended since their last heartbeat. */
  live(): readonly LiveEntry[] {
    return this.#live(SILENCE_MILLISECONDS)
      .filter(({ confirmed }) => confirmed)
      .filter(({ record, lastSeenAt }) => (
        (this.#lostAt.get(record.entry) ?? Number.NEGATIVE_INFINITY) < lastSeenAt
      ))
      .map(({ record: { entry, ready, callerAddress } }) => ({ entry, ready, callerAddress }));
  }

  /** Whether an entry that may live has far more processor time, so that it holds the lease better. */
  get hasStrongerPeer(): boolean {
    const { processorCores } = this.#options;
    return this.#live(SILENCE_MILLISECONDS)
      .some(({ record }) => isFarStronger(record.processorCores, processorCores));
  }

  /** Where an entry listens for links; undefined for one that has no row. */
  linkAddressOf(entry: EntryId): string | undefined {
    return this.#seen.get(entry)?.record.linkAddress;
  }

  /** Where the other entries that may live listen for links. */
  linkAddresses(): readonly string[] {
    return this.#live(ENDED_MILLISECONDS).filter(({ record }) => record.entry !== this.#options.entry)
      .map(({ record: { linkAddress } }) => linkAddress);
  }

  /** The link to an entry has ended: it counts as ended until its next heartbeat. */
  linkLost(entry: EntryId): void {
    this.#lostAt.set(entry, this.#options.clock.monotonicMilliseconds());
  }

  /** Addresses of the entries that callers may be sent to. */
  readyAddresses(): readonly string[] {
    const { callerAddress, isReady, entry } = this.#options;
    const others = (this.#options.reportedByHolder() ?? this.live())
      .filter((other) => other.entry !== entry && other.ready)
      .map((other) => other.callerAddress);
    return isReady() ? [callerAddress, ...others] : others;
  }

  #live(silenceMilliseconds: number): readonly ObservedEntry[] {
    const now = this.#options.clock.monotonicMilliseconds();
    return [...this.#seen.values()].filter(({ lastSeenAt }) => (
      !this.#reading || now - Math.max(lastSeenAt, this.#unreadAt ?? lastSeenAt) < silenceMilliseconds
    ));
  }

  /** Forgets entries that the holder does not name: they count again once their rows are seen to change. */
  #forgetUnnamed(known: readonly LiveEntry[]): void {
    const names = new Set(known.map(({ entry }) => entry));
    [...this.#seen.keys()].filter((entry) => !names.has(entry)).forEach((entry) => this.#seen.delete(entry));
  }

  /** From now on all known entries count, but for those that had fallen silent before. */
  #rowsUnread(): void {
    this.#seen = new Map(this.#live(SILENCE_MILLISECONDS).map((seen) => [seen.record.entry, seen]));
    this.#reading = false;
    this.#unreadAt = this.#options.clock.monotonicMilliseconds();
  }

  async #round(): Promise<void> {
    const {
      store, clock, log, reportedByHolder: linked, isReady,
    } = this.#options;
    const known = linked();
    if (known !== null) {
      this.#rowsUnread();
      this.#forgetUnnamed(known);
      // The holder hears of this entry by the link.
      const isLost = this.#rewriteAt !== null && clock.monotonicMilliseconds() >= this.#rewriteAt;
      if (isLost || isReady() !== this.#writtenReady) {
        await this.announce();
      }
      return;
    }
    const [, rows] = await Promise.all([this.announce(), store.scan(TABLE, '')]);
    if (rows.isErr()) {
      log.debug('Entry rows were not read.', { reason: rows.error.message });
      this.#rowsUnread();
      return;
    }
    // A row that changed while it was not read may have changed at any time since.
    const now = clock.monotonicMilliseconds();
    const lastSeenAt = this.#reading ? now : this.#unreadAt ?? now;
    this.#reading = true;
    const seen = new Map<EntryId, ObservedEntry>();
    rows.value.forEach((row) => {
      const parsed = EntryRecord.safeParse(row.value);
      if (!parsed.success) {
        log.warn('Entry row is invalid.', { key: row.key });
        return;
      }
      const previous = this.#seen.get(parsed.data.entry);
      const unchanged = previous !== undefined && previous.version === row.version;
      const fresh = {
        record: parsed.data, version: row.version, lastSeenAt, confirmed: previous !== undefined,
      };
      const rebased = previous === undefined ? fresh : { ...previous, version: row.version };
      seen.set(parsed.data.entry, unchanged || this.#restored ? rebased : fresh);
    });
    this.#restored = false;
    this.#seen = applyHolderHeartbeats(seen);
  }
}
