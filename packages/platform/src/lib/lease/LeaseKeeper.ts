import {
  FencingNumber, LeaseRecord, RowVersion, TABLE_NAMES, createNonce,
  type Clock, type ControllerId, type RandomSource, type RegionId, type TableCondition, type TableRow,
  type TableStore,
} from '@dandelionlane/core';
import FencingNumberGenerator from './FencingNumberGenerator.js';
import type HeldLease from './HeldLease.js';
import type LeaseAnnouncement from './LeaseAnnouncement.js';
import type LeaseObservation from './LeaseObservation.js';
import type LeaseSettings from './LeaseSettings.js';
import isLeaseFree from './isLeaseFree.js';
import observeLease from './observeLease.js';

function parseRecord(row: TableRow): LeaseRecord | null {
  const parsed = LeaseRecord.safeParse(row.value);
  return parsed.success ? parsed.data : null;
}

/** Options of a `LeaseKeeper`. */
interface LeaseKeeperOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly controller: ControllerId;
  readonly region: RegionId;
  readonly settings: LeaseSettings;
  /** Address at which other processes reach this one; null by default. */
  readonly address?: string;
  /** Time for which a free lease is left to other contenders, in ms; 0 by default. */
  readonly acquisitionDelayMilliseconds?: () => number;
  /** Whether this process may acquire a free lease; it reads the row in any case. Always, by default. */
  readonly mayAcquire?: () => boolean;
  /** Current era of the store; null, the default, if the store reports none. */
  readonly era?: () => number | null;
  /** Spreads the fencing numbers of processes that acquire after a restoration without seeing each other. */
  readonly random?: RandomSource;
}

/**
 * Contends for the lease of one region and renews it while it is held.
 *
 * Invariant: `held()` returns a lease only while no contender that follows the same
 * rules can have acquired it. The holder's term starts before its write is sent,
 * and the term that a contender measures starts after it has read that write.
 */
export default class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;

  #observation: LeaseObservation | null = null;

  #held: HeldLease | null = null;

  #lastAnswerMilliseconds = Number.NEGATIVE_INFINITY;

  readonly #fencingNumbers: FencingNumberGenerator;

  /** Whether the observation predates the store's restoration from a copy. */
  #hasStaleObservation = false;

  /** Whether this process acted on the lease when the store was restored, and reacquires it at once. */
  #reclaimsAfterRestoration = false;

  /** Monotonic time until which the lease is left to the process that acted on it at a restoration, in ms. */
  #deferredUntilMilliseconds = Number.NEGATIVE_INFINITY;

  /**
   * Resolves when the step or release in progress ends. They run one at a time since each overwrites
   * the version written by the previous one.
   */
  #lastOperation: Promise<void> = Promise.resolve();

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
    this.#fencingNumbers = new FencingNumberGenerator(options.random);
  }

  /** Returns the lease if this process may act on it now. */
  held(): HeldLease | null {
    if (this.#held === null) {
      return null;
    }
    const now = this.#options.clock.monotonicMilliseconds();
    return now < this.#held.actUntilMilliseconds ? this.#held : null;
  }

  /** Returns the holder in the lease row that this process last observed. */
  holder(): ControllerId | null {
    return this.#observation?.record?.holder ?? null;
  }

  /** Returns the lease row last read or written; null before the first read, or for a malformed row. */
  observed(): LeaseRecord | null {
    return this.#observation?.record ?? null;
  }

  /**
   * Time until a contender may acquire the lease, in ms, as last observed; not positive if it may now. Null
   * before the first read, and while the observation predates a restoration of the store.
   */
  get freeInMilliseconds(): number | null {
    const { clock, settings, controller } = this.#options;
    const observation = this.#observation;
    if (observation === null || this.#hasStaleObservation) {
      return null;
    }
    const { record, firstSeenMilliseconds } = observation;
    const isOwn = settings.canReclaimOwnLease === true && record?.holder === controller;
    const term = record === null || record.released || isOwn ? 0 : record.termMilliseconds;
    return firstSeenMilliseconds + term - clock.monotonicMilliseconds();
  }

  /** Returns the lease row to announce to peers; null while this process does not hold the lease. */
  announcement(): LeaseAnnouncement | null {
    const held = this.held();
    const observation = this.#observation;
    if (held === null || observation === null || observation.record === null) {
      return null;
    }
    const { clock, settings: { termMilliseconds, safetyMarginMilliseconds } } = this.#options;
    const writtenAt = held.actUntilMilliseconds - termMilliseconds + safetyMarginMilliseconds;
    return {
      record: observation.record,
      version: held.version,
      ageMilliseconds: clock.monotonicMilliseconds() - writtenAt,
    };
  }

  /**
   * Merges an announcement of the holder, so that the term is measured from the holder's write instead
   * of from this process's next read of the row.
   */
  observeAnnouncement({ record, version, ageMilliseconds }: LeaseAnnouncement): void {
    this.#fencingNumbers.observe(record);
    if (record.era !== this.#era()) {
      return;
    }
    const writtenAt = this.#options.clock.monotonicMilliseconds() - ageMilliseconds;
    this.#observe(record, version, writtenAt);
  }

  /**
   * Handles a restoration of the store from a copy. The row may name a former holder or none, and
   * versions from before the restoration are meaningless. The process that acted on the lease reacquires
   * it at once with a new fencing number; the others do not contend for one term.
   */
  handleStoreRestored(isActing: boolean): void {
    const { clock, settings } = this.#options;
    this.#held = null;
    this.#hasStaleObservation = true;
    this.#reclaimsAfterRestoration = isActing;
    this.#deferredUntilMilliseconds = isActing
      ? Number.NEGATIVE_INFINITY : clock.monotonicMilliseconds() + settings.termMilliseconds;
  }

  /** Time since the table service last answered, in ms; infinite before the first answer. */
  get ageMilliseconds(): number {
    return this.#options.clock.monotonicMilliseconds() - this.#lastAnswerMilliseconds;
  }

  /** Whether the table service answered within the last term. */
  isStoreReachable(): boolean {
    return this.ageMilliseconds < this.#options.settings.termMilliseconds;
  }

  /** Returns a condition: a transaction commits only while the lease row is as the holder wrote it. */
  condition(lease: HeldLease): TableCondition {
    return { table: TABLE_NAMES.leases, key: this.#options.region, version: lease.version };
  }

  /** Runs one round: renews a held lease; otherwise reads the row and acquires the lease if allowed. */
  step(): Promise<void> {
    return this.#enqueue(() => this.#step());
  }

  /** Releases the lease, so that contenders need not wait for the term to end. */
  release(): Promise<void> {
    return this.#enqueue(() => this.#release());
  }

  #enqueue(operation: () => Promise<void>): Promise<void> {
    const done = this.#lastOperation.then(operation);
    // The caller handles a failure through `done`; the next operation runs regardless.
    this.#lastOperation = done.catch(() => undefined);
    return done;
  }

  async #step(): Promise<void> {
    const {
      store, clock, region, settings, controller,
    } = this.#options;
    if (this.held() !== null && await this.#renew()) {
      return;
    }
    const rows = await store.read([{ table: TABLE_NAMES.leases, key: region }]);
    if (rows.isErr()) {
      return;
    }
    const row = rows.value[0];
    if (row === undefined) {
      return;
    }
    const now = clock.monotonicMilliseconds();
    this.#lastAnswerMilliseconds = now;
    const record = parseRecord(row);
    if (this.#reclaimsAfterRestoration
      && (record === null || record.era !== this.#era() || record.holder === controller)) {
      const restoredRow = { record, version: row.version, firstSeenMilliseconds: now };
      await this.#write(restoredRow, this.#fencingNumbers.next(record, this.#era()), false);
      return;
    }
    this.#reclaimsAfterRestoration = false;
    const observation = this.#observe(record, row.version, now);
    const isOwnVersion = this.#held !== null && this.#held.version === observation.version;
    if (isOwnVersion && this.held() !== null) {
      await this.#write(observation, this.#held?.fencing ?? FencingNumber.parse(0), false);
      return;
    }
    this.#held = null;
    const isOwnLease = settings.canReclaimOwnLease === true && observation.record?.holder === controller;
    const isFree = isOwnLease
      || isLeaseFree(observation, now, this.#options.acquisitionDelayMilliseconds?.() ?? 0);
    const mayAcquire = (this.#options.mayAcquire?.() ?? true) && now >= this.#deferredUntilMilliseconds;
    if (mayAcquire && isFree && this.#isHolderReliable(observation, now)) {
      await this.#write(observation, this.#fencingNumbers.next(observation.record, this.#era()), false);
    }
  }

  /**
   * Whether the row was written in the current era or has stayed unchanged for a term: a row of an
   * earlier era may not name the current holder.
   */
  #isHolderReliable({ record, firstSeenMilliseconds }: LeaseObservation, now: number): boolean {
    return record === null || record.era === this.#era()
      || now - firstSeenMilliseconds >= this.#options.settings.termMilliseconds;
  }

  #observe(record: LeaseRecord | null, version: RowVersion, seenAt: number): LeaseObservation {
    this.#observation = observeLease(
      this.#hasStaleObservation ? null : this.#observation,
      record,
      version,
      seenAt,
    );
    this.#hasStaleObservation = false;
    this.#fencingNumbers.observe(record);
    return this.#observation;
  }

  #era(): number | null {
    return this.#options.era?.() ?? null;
  }

  /** Overwrites the version last written by this process. Returns whether the step is complete. */
  async #renew(): Promise<boolean> {
    const held = this.#held;
    const observation = this.#observation;
    if (held === null || observation === null || held.version !== observation.version) {
      return false;
    }
    return this.#write(observation, held.fencing, false);
  }

  async #release(): Promise<void> {
    const lease = this.held();
    const observation = this.#observation;
    this.#held = null;
    if (lease !== null && observation !== null) {
      await this.#write({ ...observation, version: lease.version }, lease.fencing, true);
      this.#held = null;
    }
  }

  /** Returns false if another process has written the row. */
  async #write(observation: LeaseObservation, fencing: FencingNumber, released: boolean): Promise<boolean> {
    const {
      store, clock, controller, region, settings, address = null,
    } = this.#options;
    const startedAt = clock.monotonicMilliseconds();
    const era = this.#era();
    const record: LeaseRecord = {
      holder: controller,
      fencing,
      renewal: createNonce(),
      termMilliseconds: settings.termMilliseconds,
      released,
      address,
      era,
    };
    const outcome = await store.commit({
      conditions: [{ table: TABLE_NAMES.leases, key: region, version: observation.version }],
      writes: [{ table: TABLE_NAMES.leases, key: region, value: record }],
    });
    if (era !== this.#era()) {
      // The store was restored meanwhile: the condition was on a version of an earlier era.
      return true;
    }
    if (outcome.isOk() && outcome.value.kind === 'committed') {
      this.#lastAnswerMilliseconds = clock.monotonicMilliseconds();
      this.#setHeld(record, outcome.value.version, startedAt);
      return true;
    }
    if (outcome.isErr() && outcome.error.kind === 'store-outcome-unknown') {
      await this.#resolveUnknownOutcome(record, startedAt);
    }
    return outcome.isErr();
  }

  /** After a lost answer, reads the row: its nonce shows whether the write took effect. */
  async #resolveUnknownOutcome(record: LeaseRecord, startedAt: number): Promise<void> {
    const { store, region } = this.#options;
    const rows = await store.read([{ table: TABLE_NAMES.leases, key: region }]);
    const row = rows.isOk() ? rows.value[0] : undefined;
    if (row !== undefined && record.era === this.#era() && parseRecord(row)?.renewal === record.renewal) {
      this.#setHeld(record, row.version, startedAt);
    }
  }

  #setHeld(record: LeaseRecord, version: RowVersion, startedAt: number): void {
    const { settings, clock } = this.#options;
    this.#observation = { record, version, firstSeenMilliseconds: clock.monotonicMilliseconds() };
    this.#hasStaleObservation = false;
    this.#reclaimsAfterRestoration = false;
    this.#fencingNumbers.observe(record);
    this.#held = {
      fencing: record.fencing,
      version,
      actUntilMilliseconds: startedAt + settings.termMilliseconds - settings.safetyMarginMilliseconds,
    };
  }
}
