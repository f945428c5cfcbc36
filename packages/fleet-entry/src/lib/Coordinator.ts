import type { EntryId } from '@dandelionlane/core';
import type { LiveEntry } from '@dandelionlane/gateway';
import type CoordinationOptions from './CoordinationOptions.js';
import FleetFollower from './FleetFollower.js';
import FleetLeader from './FleetLeader.js';
import type HolderLiveness from './HolderLiveness.js';
import MESSAGE_PERIOD_MILLISECONDS from './MESSAGE_PERIOD_MILLISECONDS.js';
import STALE_VIEW_MILLISECONDS from './STALE_VIEW_MILLISECONDS.js';

/** Period of the rounds of an entry that has just started, in ms: it answers 503 until it has a link. */
const START_PERIOD_MILLISECONDS = 30;

/** Time between two reads of the quarantine without a link, in ms: only a holder writes further parts. */
const QUARANTINE_PERIOD_MILLISECONDS = 2_000;

/** Longest time for which a new holder sends nothing until it has read the tables, in ms. */
const MAXIMUM_VIEW_WAIT_MILLISECONDS = 300;

/**
 * Shares information between entries through the holder of the lease. The holder reads the store's tables
 * for all entries, sums up loads and detects stalled formations. Nothing depends on the links: an entry
 * without one reads the store itself and relies on observations of its own streams.
 */
export default class Coordinator {
  readonly #options: CoordinationOptions;

  readonly #leader: FleetLeader;

  readonly #follower: FleetFollower;

  /** Monotonic time since which this process has held the lease, in ms; null while it does not hold it. */
  #leadingSince: number | null = null;

  #timer: NodeJS.Timeout | undefined;

  #startTimer: NodeJS.Timeout | undefined;

  constructor(options: CoordinationOptions) {
    this.#options = options;
    this.#leader = new FleetLeader(options);
    this.#follower = new FleetFollower(options);
  }

  start(): void {
    this.#leader.listen();
    this.#startTimer = setInterval(() => this.#runStartRound(), START_PERIOD_MILLISECONDS);
    this.#runStartRound();
    this.#timer = setInterval(() => this.#runRound(), MESSAGE_PERIOD_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#startTimer);
    clearInterval(this.#timer);
    this.#follower.close();
    this.#leader.close();
  }

  /** Whether this process holds the lease and reads the store for all entries. */
  get isLeading(): boolean {
    return this.#leadingSince !== null;
  }

  /** Whether this process has just started and may still get the tables over a link. */
  get isAwaitingFirstLink(): boolean {
    return !this.isLeading && this.#follower.isStarting;
  }

  /** Live entries as known to the holder of the lease; null without a link to it. */
  linkedEntries(): readonly LiveEntry[] | null {
    return this.isLeading ? null : this.#follower.entries;
  }

  /** Live entries as the links tell them; null without a link. */
  knownEntries(): readonly LiveEntry[] | null {
    return this.isLeading ? this.#leader.entries : this.#follower.entries;
  }

  /** Entries with a link to this process while it holds the lease. */
  connectedEntries(): readonly EntryId[] {
    return this.isLeading ? this.#leader.connectedEntries : [];
  }

  /** Liveness of the holder of the lease, as observed on the link. */
  holderLiveness(): HolderLiveness {
    return this.isLeading ? 'silent' : this.#follower.holderLiveness;
  }

  /** Time since the last message of the holder on the link, in ms; infinite before the first one. */
  linkAgeMilliseconds(): number {
    return this.#follower.stateAgeMilliseconds;
  }

  #runStartRound(): void {
    this.#follower.follow();
    if (!this.#follower.isStarting) {
      clearInterval(this.#startTimer);
      this.#loadQuarantine();
    }
  }

  /** Reads the quarantine while no link brings it. */
  #loadQuarantine(): void {
    const { quarantineStore } = this.#options;
    if (this.#follower.isReadingStore && quarantineStore.ageMilliseconds >= QUARANTINE_PERIOD_MILLISECONDS) {
      void quarantineStore.load();
    }
  }

  #beginToLead(): void {
    const { quarantineStore, view: { operatorFollower, workerFollower } } = this.#options;
    clearInterval(this.#startTimer);
    quarantineStore.forgetRows();
    this.#follower.disconnect();
    // An old view would make all others read the store.
    operatorFollower.refresh();
    workerFollower.refresh();
  }

  /** Whether the tables have been read lately enough to send what they say to the others. */
  #isViewFresh(leadingSince: number): boolean {
    const { clock, view: { operatorFollower, workerFollower } } = this.#options;
    const age = Math.max(operatorFollower.ageMilliseconds, workerFollower.ageMilliseconds);
    return age < STALE_VIEW_MILLISECONDS
      || clock.monotonicMilliseconds() - leadingSince >= MAXIMUM_VIEW_WAIT_MILLISECONDS;
  }

  #runRound(): void {
    const { control: { leadership }, quarantineStore, clock } = this.#options;
    if (leadership.actingLease() !== null) {
      if (this.#leadingSince === null) {
        this.#leadingSince = clock.monotonicMilliseconds();
        this.#beginToLead();
      }
      if (this.#isViewFresh(this.#leadingSince)) {
        this.#leader.lead(this.#leadingSince);
      }
      void quarantineStore.save();
      return;
    }
    if (this.isLeading) {
      this.#leader.resign();
    }
    this.#leadingSince = null;
    this.#follower.follow();
    this.#leader.redirect(this.#follower.linkedAddress);
    this.#loadQuarantine();
  }
}
