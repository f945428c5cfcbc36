import type { Clock } from '@dandelionlane/core';
import type ReportedLoad from '../wire/ReportedLoad.js';
import AnswerLimit from './AnswerLimit.js';
import ColdStartLimiter from './ColdStartLimiter.js';
import LimitTracker from './LimitTracker.js';
import LocalConditions from './LocalConditions.js';
import type RunningStream from './RunningStream.js';
import TargetSpeed from './TargetSpeed.js';
import type TargetStep from './TargetStep.js';

/** Age at which a reported load has lost its weight, in ms: a stream lasts about a second. */
const LOAD_AGE_MILLISECONDS = 1_500;

/** Age up to which the load shared by all entries takes precedence over a reported one, in ms. */
const SHARED_AGE_MILLISECONDS = 600;

/** Weight of the newest outcome in the failure rate. */
const FAILURE_WEIGHT = 0.15;

/** Weight of the newest answer in the mean latency. */
const LATENCY_WEIGHT = 0.2;

/** Initial backoff after a target could not be reached, in ms; it doubles with each failure. */
const INITIAL_BACKOFF_MILLISECONDS = 150;

/** Maximum backoff, in ms. */
const MAXIMUM_BACKOFF_MILLISECONDS = 2_000;

/** Time for which a target that is absent from its address gets no requests, in ms. */
const ABSENCE_MILLISECONDS = 1_000;

/** Time for which an observed absence is reported to the other entries, in ms: two messages. */
const ABSENCE_REPORT_MILLISECONDS = 250;

/** Age of a target's last progress here up to which other entries cannot have found it absent, in ms. */
const CONTRADICTION_MILLISECONDS = 300;

/** Time for which a doubt is reported to the holder of the lease, in ms: two messages. */
const DOUBT_MILLISECONDS = 250;

/** Age of a reported load up to which it counts as known, in ms. */
const KNOWN_LOAD_AGE_MILLISECONDS = 500;

/** A process of a target, and the formation of its group that it runs in, with the slots that it has. */
interface TargetInstance {
  readonly bornAt: number | null;
  readonly formation: string;
  readonly slots: number;
}

/** What was expected at the address of a target. */
interface AbsentInstance {
  /** Start of the instance; null where targets do not report it. */
  readonly bornAt: number | null;
  /** Formation of its group; empty for a plain target. */
  readonly formation: string;
}

/** State of one target as this process knows it. */
export default class TargetState {
  readonly #clock: Clock;

  readonly #conditions: LocalConditions;

  #speed: TargetSpeed;

  #instance: TargetInstance | null = null;

  /** Targets with the same kind are comparable in speed; empty before the first step. */
  kind = '';

  /** Limit on requests of this process in flight, learned from the answers of a plain target. */
  answerLimit = new AnswerLimit();

  /** Prompt tokens of streams of this process that the target has read, since its state was created. */
  prefilledTokens = 0;

  /** Requests of this process in flight at the target. */
  outstanding = 0;

  /** Streams of this process that run on the target. */
  readonly streams = new Set<RunningStream>();

  readonly coldStart = new ColdStartLimiter();

  /** Limit that the target has named. */
  readonly limit: LimitTracker;

  /** Share of requests that failed at the target; recent ones weigh more. */
  failureRate = 0;

  /** Mean time to an answer of a plain target, in ms; 0 before the first. */
  latencyMilliseconds = 0;

  /** Monotonic time of the last progress, in ms. */
  lastProgressAt = Number.NEGATIVE_INFINITY;

  #reportedOthersLoad = 0;

  #sharedOthersLoad = 0;

  /** `#sharedOthersLoad` of the message before: the requests may have run until now. */
  #previousOthersLoad = 0;

  #sharedAt = Number.NEGATIVE_INFINITY;

  /** `outstanding` as last reported to the other entries. */
  #reportedOutstanding = 0;

  #othersUnreadTokens = 0;

  #reportedUnreadTokens = 0;

  #loadReportedAt = Number.NEGATIVE_INFINITY;

  #unreachableUntil = Number.NEGATIVE_INFINITY;

  #backoff = INITIAL_BACKOFF_MILLISECONDS;

  #suspectedUntil = Number.NEGATIVE_INFINITY;

  #suspectedFormation = '';

  #doubtedUntil = Number.NEGATIVE_INFINITY;

  #doubtedFormation = '';

  /** What was found absent from the address of the target, and until when that counts. */
  #absent: AbsentInstance & { readonly until: number } | null = null;

  #absenceObservedAt = Number.NEGATIVE_INFINITY;

  /** Instance of the target that asked for no requests, by its `bornAt`, and until when. */
  #heldOff: { readonly bornAt: number | null; readonly until: number } | null = null;

  constructor(clock: Clock, conditions = new LocalConditions(clock, () => [])) {
    this.#clock = clock;
    this.#conditions = conditions;
    this.#speed = new TargetSpeed(clock);
    this.limit = new LimitTracker(clock);
  }

  /** Records the load reported with an answer, which includes the requests of this process. */
  recordReportedLoad(load: ReportedLoad): void {
    this.#reportedOthersLoad = Math.max(0, load.running + load.waiting - this.outstanding);
    this.#loadReportedAt = this.#now();
  }

  /** Prompt tokens of the streams of this process that have no event yet. */
  get unreadTokens(): number {
    return [...this.streams].filter(({ lastEventAt }) => lastEventAt === null)
      .reduce((sum, { promptTokens }) => sum + promptTokens, 0);
  }

  /** Whether the requests of all entries at the target are known. */
  get hasSharedLoad(): boolean {
    return this.#now() - this.#sharedAt < SHARED_AGE_MILLISECONDS;
  }

  /**
   * Estimated prompt tokens of all entries that await prefill at the target.
   * @param othersGuess Tokens of the other entries where these are not known.
   */
  estimateUnreadTokens(othersGuess = 0): number {
    return this.unreadTokens + (this.hasSharedLoad ? this.#othersUnreadTokens : othersGuess);
  }

  /** Records that the requests of this process are being reported to the other entries. */
  recordStatusSent(): void {
    this.#reportedOutstanding = this.outstanding;
    this.#reportedUnreadTokens = this.unreadTokens;
  }

  /**
   * Records the requests of all entries, including those of this process.
   * @param slowdown Slowdown that they have measured; null where they have too few samples.
   */
  recordSharedLoad(outstanding: number, unreadTokens: number, slowdown: number | null = null): void {
    if (slowdown !== null && this.#instance !== null && this.#conditions.isLearning) {
      const load = { load: outstanding, slots: this.#instance.slots };
      this.#speed.recordShared(slowdown, load, this.#conditions.usualOf(this.kind));
    }
    this.#previousOthersLoad = this.#sharedOthersLoad;
    this.#sharedOthersLoad = Math.max(0, outstanding - this.#reportedOutstanding);
    this.#othersUnreadTokens = Math.max(0, unreadTokens - this.#reportedUnreadTokens);
    this.#sharedAt = this.#now();
  }

  /**
   * Estimated number of requests of all entries at the target.
   * @param entries Number of live entries, including this one.
   * @param meanOutstanding Mean requests of this process at a target of this kind. Other entries are assumed
   * to have as many where their load is not known.
   */
  estimateLoad(entries: number, meanOutstanding: number): number {
    if (this.hasSharedLoad) {
      return this.outstanding + this.#sharedOthersLoad;
    }
    const age = this.#now() - this.#loadReportedAt;
    const freshness = Math.max(0, 1 - age / LOAD_AGE_MILLISECONDS);
    const guess = meanOutstanding * (entries - 1);
    const others = Number.isFinite(age)
      ? this.#reportedOthersLoad * freshness + guess * (1 - freshness) : guess;
    return this.outstanding + others;
  }

  /**
   * Names the instance and the formation that serve now. What was learned of others is discarded.
   * @param kind Kind of the target, where that is known before its first answer.
   */
  setInstance(bornAt: number | null, formation: string, slots: number, kind = this.kind): void {
    if (!this.#conditions.isLearning) {
      return;
    }
    this.kind = kind;
    const known = this.#instance;
    if (known === null || known.bornAt !== bornAt || known.formation !== formation || known.slots !== slots) {
      this.#instance = { bornAt, formation, slots };
      this.#speed = new TargetSpeed(this.#clock, this.#conditions.isStarting || !this.#conditions.isLearning);
      this.answerLimit = new AnswerLimit();
    }
  }

  /**
   * Load of the target while it serves a request of this process. Where the requests of the other entries
   * are not known, its slots are assumed to be taken: it is found slow only if it would be even then.
   */
  loadNow(slots: number): { readonly load: number; readonly assumed: number; readonly unreadTokens: number } {
    const others = Math.max(this.#previousOthersLoad - this.#sharedOthersLoad, 0);
    const load = Math.min(slots, this.estimateLoad(1, 0) + (this.hasSharedLoad ? others : 0));
    const isKnown = this.hasSharedLoad || this.#now() - this.#loadReportedAt < KNOWN_LOAD_AGE_MILLISECONDS;
    return {
      load, assumed: isKnown ? load : slots, unreadTokens: this.hasSharedLoad ? this.#othersUnreadTokens : 0,
    };
  }

  /**
   * Records steps of the target, unless another formation has taken its place or this process has stalled.
   * @param since Monotonic time at which the steps began, in ms.
   */
  recordSteps(formation: string, since: number, step: TargetStep): void {
    if (this.#conditions.isLearning && this.#instance?.formation === formation
      && this.#conditions.hasRunSince(since)) {
      this.#speed.record(step, this.#conditions.usualOf(this.kind));
    }
  }

  /** Slowdown of the target at a load, against its configuration; 1 where it is none. */
  slowdownAt(load: number, slots: number): number {
    if (!this.#speed.mayBeSlow) {
      return 1;
    }
    const slowdown = this.#speed.slowdownAt({ load, slots }, this.#conditions.usualOf(this.kind));
    return Math.min(this.#conditions.maximumSlowdown, slowdown);
  }

  /** Slowdown at the load that the target has now. */
  get slowdown(): number {
    const slots = this.#instance?.slots ?? 0;
    return slots === 0 ? 1 : this.slowdownAt(Math.max(1, this.loadNow(slots).load), slots);
  }

  /** Slowdown that this process has measured lately; null where it has too few samples. */
  get ownSlowdown(): number | null {
    return this.#speed.ownSlowdown();
  }

  /** What has been learned of the speed of the target. */
  get speed(): Omit<TargetSpeed, 'record' | 'recordShared' | 'slowdownAt' | 'ownSlowdown'> {
    return this.#speed;
  }

  /** Records that the target made progress. */
  recordProgress(): void {
    this.lastProgressAt = this.#now();
    this.#backoff = INITIAL_BACKOFF_MILLISECONDS;
  }

  recordSuccess(latencyMilliseconds: number): void {
    this.failureRate *= 1 - FAILURE_WEIGHT;
    this.latencyMilliseconds = this.latencyMilliseconds === 0
      ? latencyMilliseconds
      : this.latencyMilliseconds + (latencyMilliseconds - this.latencyMilliseconds) * LATENCY_WEIGHT;
  }

  recordFailure(): void {
    this.failureRate += (1 - this.failureRate) * FAILURE_WEIGHT;
  }

  /** Records that no connection was made or that the target refused the request. */
  recordUnreachable(): void {
    this.#unreachableUntil = this.#now() + this.#backoff;
    this.#backoff = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, this.#backoff * 2);
  }

  get isUnreachable(): boolean {
    return this.#now() < this.#unreachableUntil;
  }

  /**
   * Records that a connection was refused, or that another instance or formation answers at the address.
   * The target gets no requests for a while. Newer instances and formations are not affected.
   */
  recordAbsence(instance: AbsentInstance): void {
    this.#absenceObservedAt = this.#now();
    this.#avoidAbsent(instance);
  }

  /** Avoids a target that other entries have found absent from its address, unless it serves this one. */
  avoidAbsent(instance: AbsentInstance): void {
    if (this.#now() - this.lastProgressAt >= CONTRADICTION_MILLISECONDS) {
      this.#avoidAbsent(instance);
    }
  }

  #avoidAbsent({ bornAt, formation }: AbsentInstance): void {
    this.#absent = { bornAt, formation, until: this.#now() + ABSENCE_MILLISECONDS };
  }

  /** Whether an instance with a formation was recently found absent from the address. */
  isAbsent({ bornAt, formation }: AbsentInstance): boolean {
    return this.#absent !== null && this.#absent.bornAt === bornAt
      && this.#absent.formation === formation && this.#now() < this.#absent.until;
  }

  /** What this process itself has just found absent, or null. */
  get observedAbsence(): AbsentInstance | null {
    if (this.#absent === null || this.#now() - this.#absenceObservedAt >= ABSENCE_REPORT_MILLISECONDS) {
      return null;
    }
    const { bornAt, formation } = this.#absent;
    return { bornAt, formation };
  }

  /** Holds off requests for a while, as the target asked; it applies to this instance of the target. */
  holdOff(bornAt: number | null, milliseconds: number): void {
    const until = this.#now() + milliseconds;
    const isLonger = this.#heldOff === null || this.#heldOff.bornAt !== bornAt || this.#heldOff.until < until;
    this.#heldOff = isLonger ? { bornAt, until } : this.#heldOff;
  }

  /** Time for which requests to an instance of the target are still held off, in ms; 0 if they are not. */
  heldOffMilliseconds(bornAt: number | null): number {
    return this.#heldOff === null || this.#heldOff.bornAt !== bornAt
      ? 0 : Math.max(0, this.#heldOff.until - this.#now());
  }

  /** Whether requests to any instance of the target are still held off. */
  get isHeldOff(): boolean {
    return this.#heldOff !== null && this.#heldOff.until > this.#now();
  }

  /** Excludes the target for a while; a new formation of its group ends the suspicion. */
  suspect(formation: string, milliseconds: number): void {
    this.#suspectedUntil = this.#now() + milliseconds;
    this.#suspectedFormation = formation;
  }

  isSuspected(formation: string): boolean {
    return this.#now() < this.#suspectedUntil && this.#suspectedFormation === formation;
  }

  /** Records that the target has been silent for so long that its group should be checked. */
  doubt(formation: string): void {
    this.#doubtedUntil = this.#now() + DOUBT_MILLISECONDS;
    this.#doubtedFormation = formation;
  }

  isDoubted(formation: string): boolean {
    return this.#now() < this.#doubtedUntil && this.#doubtedFormation === formation;
  }

  /** Records that a request is sent. */
  recordSend(): void {
    this.coldStart.recordSend(this.#now());
    this.limit.recordSend();
  }

  #now(): number {
    return this.#clock.monotonicMilliseconds();
  }
}
