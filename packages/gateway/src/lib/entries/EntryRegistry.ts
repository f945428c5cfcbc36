import {
  ReportedRows, hasSignificantlyMoreCores, repeatWork, type AvailabilityZoneId, type Clock, type EntryId,
  type RandomSource, type TableStore,
} from '@dandelionlane/core';
import { logRoundFailure, type Log } from '@dandelionlane/telemetry';
import EntryRecord from './EntryRecord.js';
import type LiveEntry from './LiveEntry.js';
import type ObservedEntry from './ObservedEntry.js';
import applyHolderHeartbeats from './applyHolderHeartbeats.js';
import selectEntries from './selectEntries.js';

const TABLE = 'entries';

/** Time between two heartbeats, in ms. */
const HEARTBEAT_MILLISECONDS = 1_000;

/**
 * Longest time between two attempts to write the row of an entry with a link, in ms; the first ones follow
 * each other sooner. To the holder the link shows what the row says.
 */
const MAXIMUM_REWRITE_MILLISECONDS = 4_000;

/** Period of the check whether a starting entry is ready, in ms. */
const READINESS_CHECK_PERIOD_MILLISECONDS = 30;

/** Longest time for which a starting entry waits for its readiness before the first heartbeat, in ms. */
const MAXIMUM_READINESS_WAIT_MILLISECONDS = 1_000;

/**
 * Time for which entries that the holder reported are taken into account after its link, in ms: linked ones
 * write no heartbeats, and the lease is free soon after the holder is lost.
 */
const REPORT_LIFETIME_MILLISECONDS = 10_000;

/** Number of entries that is assumed before the rows have been read: a limit must not be used alone. */
const ASSUMED_ENTRIES = 100;

/**
 * Silence after which an entry counts as dead, in ms: longer than the time between two heartbeats and
 * a slow answer of the store. Together with the silence of a link, a heartbeat of the holder and the
 * round before it, a dead entry is listed for at most 6 s.
 */
const LIVENESS_TIMEOUT_MILLISECONDS = 2_600;

/** Silence after which an entry no longer counts as one that shared limits are split among, in ms. */
const SHARING_TIMEOUT_MILLISECONDS = 2 * LIVENESS_TIMEOUT_MILLISECONDS;

/**
 * Time over which entries spread the rewriting of their rows after the store was restored from a copy,
 * in ms: those of a large fleet would otherwise all write at once.
 */
const REWRITE_SPREAD_MILLISECONDS = 3_000;

/** Dependencies and settings of an `EntryRegistry`. */
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
  /** Requests a second that this entry can take. */
  readonly capacity: number;
  readonly isReady: () => boolean;
  /** Live entries as the holder of the lease reports them over the link; null while there is no link. */
  readonly reportedByHolder: () => readonly LiveEntry[] | null;
  /** Live entries as the links tell them, to the holder of the lease too; null while there is no link. */
  readonly knownByLinks: () => readonly LiveEntry[] | null;
  /** Entries with a link to this one while it holds the lease. */
  readonly connectedEntries: () => readonly EntryId[];
  /** Whether this entry has just started and its first link may still come up in time; never, by default. */
  readonly isAwaitingFirstLink?: () => boolean;
  /** Fencing number of the lease while this entry holds it; null otherwise. */
  readonly term: () => number | null;
  readonly random: RandomSource;
}

/**
 * Writes this entry's row to the platform's store and tracks which entries are alive. An entry with a
 * link to the holder of the lease writes no heartbeats: the row of the holder lists it.
 */
export default class EntryRegistry {
  readonly #options: EntryRegistryOptions;

  #observed = new Map<EntryId, ObservedEntry>();

  readonly #reported = new ReportedRows();

  readonly #linkLostAt = new Map<EntryId, number>();

  #beat = 0;

  /** Readiness in this entry's row, or null before the row is written. */
  #announcedReady: boolean | null = null;

  /** Whether this entry's row lists entries that are linked to it. */
  #hasAnnouncedLinks = false;

  /** Whether the last round read the rows. */
  #isReadingRows = false;

  /** Monotonic time of the last round without reading the rows, in ms, or null; silence counts from it. */
  #rowsUnreadAt: number | null = null;

  /** Monotonic time from which this entry's row is to be rewritten, in ms; null where it need not be. */
  #rewriteAt: number | null = null;

  /** Whether the known versions of rows are from before the store was restored from a copy. */
  #hasOutdatedVersions = false;

  #stop: (() => Promise<void>) | null = null;

  #readinessTimer: NodeJS.Timeout | undefined;

  #hasBegunHeartbeats = false;

  #isAnnouncing = false;

  /** Writes of this entry's row that failed in succession. */
  #failedWrites = 0;

  #failedAt = Number.NEGATIVE_INFINITY;

  /** Live entries as the holder of the lease last reported them. */
  #lastReported: readonly LiveEntry[] = [];

  #reportedAt = Number.NEGATIVE_INFINITY;

  #hasReadRows = false;

  constructor(options: EntryRegistryOptions) {
    this.#options = options;
  }

  /**
   * Starts to read the rows, unless the first link brings them. The first heartbeat follows when this entry
   * is ready: each call has a cost.
   */
  start(): void {
    const { clock, isReady } = this.#options;
    const waitsUntil = clock.monotonicMilliseconds() + MAXIMUM_READINESS_WAIT_MILLISECONDS;
    this.#readinessTimer = setInterval(() => {
      this.#beginRounds();
      if (!this.#hasBegunHeartbeats && (isReady() || clock.monotonicMilliseconds() >= waitsUntil)) {
        this.#hasBegunHeartbeats = true;
        void this.announce();
      }
      if (this.#hasBegunHeartbeats && this.#stop !== null) {
        clearInterval(this.#readinessTimer);
      }
    }, READINESS_CHECK_PERIOD_MILLISECONDS);
    this.#beginRounds();
  }

  #beginRounds(): void {
    const { log, isAwaitingFirstLink } = this.#options;
    if (isAwaitingFirstLink?.() !== true) {
      this.#stop ??= repeatWork(() => this.#round(), HEARTBEAT_MILLISECONDS, logRoundFailure(log));
    }
  }

  /** Stops the heartbeats and deletes this entry's row. */
  async stop(): Promise<void> {
    clearInterval(this.#readinessTimer);
    await this.#stop?.();
    const { store, entry, log } = this.#options;
    const deletion = { table: TABLE, key: entry, value: null };
    const outcome = await store.commit({ conditions: [], writes: [deletion] });
    if (outcome.isErr()) {
      log.warn('Own entry row was not deleted.', { reason: outcome.error.message });
    }
  }

  /**
   * Handles the restoration of the store from a copy: restored rows do not count as heartbeats, and the
   * row of this entry is written again.
   */
  handleStoreRestored(): void {
    const { clock, random } = this.#options;
    this.#hasOutdatedVersions = true;
    this.#rewriteAt = clock.monotonicMilliseconds() + random.next() * REWRITE_SPREAD_MILLISECONDS;
  }

  /** Writes this entry's row at once, after a change of readiness. */
  async announce(): Promise<void> {
    const {
      store, entry, zone, callerAddress, linkAddress, processorCores, capacity, isReady, connectedEntries,
      term, log,
    } = this.#options;
    this.#beat += 1;
    const ready = isReady();
    const record: EntryRecord = {
      entry,
      zone,
      callerAddress,
      linkAddress,
      processorCores,
      capacity,
      ready,
      beat: this.#beat,
      takesForwarded: true,
      linked: [...connectedEntries()],
      term: term(),
    };
    const write = { table: TABLE, key: entry, value: record };
    this.#isAnnouncing = true;
    const outcome = await store.commit({ conditions: [], writes: [write] });
    this.#isAnnouncing = false;
    if (outcome.isErr()) {
      this.#failedWrites += 1;
      this.#failedAt = this.#options.clock.monotonicMilliseconds();
      log.debug('Heartbeat was not written.', { reason: outcome.error.message });
      return;
    }
    this.#failedWrites = 0;
    this.#announcedReady = ready;
    this.#hasAnnouncedLinks = record.linked.length > 0;
    this.#rewriteAt = null;
  }

  /** Number of entries that may be alive, including this one; at least 1. Shared limits are split by it. */
  count(): number {
    const reported = this.#options.reportedByHolder();
    if (reported === null && !this.#hasReadRows) {
      return this.#lastReported.length > 0 ? this.#lastReported.length : ASSUMED_ENTRIES;
    }
    return Math.max(1, reported?.length ?? this.#live(SHARING_TIMEOUT_MILLISECONDS).length);
  }

  /** Live entries according to their rows, except those whose link ended after their last heartbeat. */
  live(): readonly LiveEntry[] {
    return this.#live(LIVENESS_TIMEOUT_MILLISECONDS)
      .filter(({ confirmed }) => confirmed)
      .filter(({ record, lastSeenAt }) => (
        (this.#linkLostAt.get(record.entry) ?? Number.NEGATIVE_INFINITY) < lastSeenAt
      ))
      .map(({
        record: {
          entry, ready, callerAddress, processorCores, capacity, linkAddress, takesForwarded,
        },
      }) => ({
        entry,
        ready,
        callerAddress,
        processorCores,
        capacity,
        forwardAddress: takesForwarded ? linkAddress : null,
        unreachable: [],
      }));
  }

  /** The other live entries, as places to pass requests on to: as last known while no link is up. */
  peers(): readonly LiveEntry[] {
    const { entry, knownByLinks } = this.#options;
    const known = knownByLinks() ?? (this.#isReportRecent ? this.#lastReported : this.live());
    return known.filter((peer) => peer.entry !== entry);
  }

  /** Whether an entry that may be alive has far more processor time: it is the better lease holder. */
  get hasStrongerPeer(): boolean {
    const { processorCores } = this.#options;
    const peers = [
      ...this.#live(LIVENESS_TIMEOUT_MILLISECONDS).map(({ record }) => record.processorCores),
      ...(this.#isReportRecent ? this.#lastReported : []).map((entry) => entry.processorCores ?? 0),
    ];
    return peers.some((cores) => hasSignificantlyMoreCores(cores, processorCores));
  }

  /** Address at which an entry listens for links; undefined where it has no row. */
  linkAddressOf(entry: EntryId): string | undefined {
    return this.#observed.get(entry)?.record.linkAddress;
  }

  /** Addresses at which the other entries that may be alive listen for links. */
  linkAddresses(): readonly string[] {
    const { entry } = this.#options;
    const fromRows = this.#live(SHARING_TIMEOUT_MILLISECONDS)
      .filter(({ record }) => record.entry !== entry)
      .map(({ record: { linkAddress } }) => linkAddress);
    // An entry that started with a link has read no rows, and may not be able to once the link is lost.
    const fromHolder = this.#lastReported.filter((other) => other.entry !== entry)
      .flatMap(({ forwardAddress }) => (forwardAddress === null ? [] : [forwardAddress]));
    return [...new Set([...fromRows, ...fromHolder])];
  }

  /** Handles the end of the link to an entry: it counts as dead until its next heartbeat. */
  recordLinkLost(entry: EntryId): void {
    this.#linkLostAt.set(entry, this.#options.clock.monotonicMilliseconds());
  }

  /** Addresses of the entries that callers may be directed to, of this one first, up to a number. */
  readyAddresses(maximum = Number.POSITIVE_INFINITY): readonly string[] {
    const { callerAddress, isReady, entry } = this.#options;
    const own = isReady() ? [callerAddress] : [];
    const ready = (this.#options.reportedByHolder() ?? this.live())
      .filter((other) => other.entry !== entry && other.ready);
    const others = selectEntries(entry, ready, maximum - own.length);
    return [...own, ...others.map((other) => other.callerAddress)];
  }

  /** Whether the holder has reported the entries lately. */
  get #isReportRecent(): boolean {
    return this.#options.clock.monotonicMilliseconds() - this.#reportedAt < REPORT_LIFETIME_MILLISECONDS;
  }

  #live(silenceMilliseconds: number): readonly ObservedEntry[] {
    const now = this.#options.clock.monotonicMilliseconds();
    return [...this.#observed.values()].filter(({ lastSeenAt }) => (
      !this.#isReadingRows
      || now - Math.max(lastSeenAt, this.#rowsUnreadAt ?? lastSeenAt) < silenceMilliseconds
    ));
  }

  /** Removes entries that the holder does not report: they count again once their rows have changed. */
  #removeUnreported(reported: readonly LiveEntry[]): void {
    const names = new Set(reported.map(({ entry }) => entry));
    [...this.#observed.keys()]
      .filter((entry) => !names.has(entry))
      .forEach((entry) => this.#observed.delete(entry));
  }

  get #canAnnounce(): boolean {
    return this.#hasBegunHeartbeats && !this.#isAnnouncing;
  }

  /** Whether the row would tell nothing new: callers are not directed to an entry that is not ready. */
  get #isSilent(): boolean {
    const { isReady, connectedEntries } = this.#options;
    return !isReady() && this.#announcedReady === false && connectedEntries().length === 0;
  }

  /** Whether a write that has failed is to be tried again while a link is up. */
  get #isRepetitionDue(): boolean {
    const doubled = HEARTBEAT_MILLISECONDS * 2 ** (this.#failedWrites - 1);
    return this.#failedWrites === 0 || this.#options.clock.monotonicMilliseconds() - this.#failedAt
      >= Math.min(doubled, MAXIMUM_REWRITE_MILLISECONDS);
  }

  /** Stops reading rows: all known entries count until rows are read again, except those already silent. */
  #stopReadingRows(): void {
    this.#observed = new Map(this.#live(LIVENESS_TIMEOUT_MILLISECONDS)
      .map((seen) => [seen.record.entry, seen]));
    this.#isReadingRows = false;
    this.#rowsUnreadAt = this.#options.clock.monotonicMilliseconds();
  }

  async #round(): Promise<void> {
    const {
      store, clock, log, reportedByHolder, isReady,
    } = this.#options;
    const reported = reportedByHolder();
    if (reported !== null) {
      this.#lastReported = reported;
      this.#reportedAt = clock.monotonicMilliseconds();
      this.#stopReadingRows();
      this.#removeUnreported(reported);
      // To the holder, the link shows that this entry is alive.
      const isRewriteDue = this.#rewriteAt !== null && clock.monotonicMilliseconds() >= this.#rewriteAt;
      const hasNews = isRewriteDue || this.#hasAnnouncedLinks || isReady() !== this.#announcedReady;
      if (hasNews && this.#canAnnounce && this.#isRepetitionDue) {
        await this.announce();
      }
      return;
    }
    // After a failed write the read shows whether another one is of use.
    const isWriteInDoubt = this.#failedWrites > 0;
    const [, rows] = await Promise.all([
      this.#canAnnounce && !isWriteInDoubt && !this.#isSilent ? this.announce() : undefined,
      store.scan(TABLE, ''),
    ]);
    if (rows.isOk() && isWriteInDoubt && this.#canAnnounce) {
      await this.announce();
    }
    if (rows.isErr()) {
      log.debug('Entry rows were not read.', { reason: rows.error.message });
      this.#stopReadingRows();
      return;
    }
    // A row that changed while rows were not read may have changed at any time since then.
    const now = clock.monotonicMilliseconds();
    const lastSeenAt = this.#isReadingRows ? now : this.#rowsUnreadAt ?? now;
    this.#isReadingRows = true;
    this.#hasReadRows = true;
    const seen = new Map<EntryId, ObservedEntry>();
    rows.value.forEach((row) => {
      const parsed = EntryRecord.safeParse(row.value);
      if (!parsed.success || parsed.data.entry !== row.key) {
        if (this.#reported.add(row)) {
          log.warn('Entry row is invalid.', { key: row.key, row: row.version });
        }
        return;
      }
      const previous = this.#observed.get(parsed.data.entry);
      const unchanged = previous !== undefined && previous.version === row.version;
      const hasChanged = previous !== undefined;
      const updated = {
        record: parsed.data,
        version: row.version,
        lastSeenAt,
        heartbeatAt: hasChanged ? lastSeenAt : null,
        confirmed: hasChanged,
      };
      const rebased = previous === undefined ? updated : { ...previous, version: row.version };
      seen.set(parsed.data.entry, unchanged || this.#hasOutdatedVersions ? rebased : updated);
    });
    this.#hasOutdatedVersions = false;
    this.#observed = applyHolderHeartbeats(seen, now - SHARING_TIMEOUT_MILLISECONDS);
  }
}
