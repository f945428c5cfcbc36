import type { Clock } from '@dandelionlane/core';
import type ReportedLoad from '../wire/ReportedLoad.js';
import ColdStartLimiter from './ColdStartLimiter.js';
import type RunningStream from './RunningStream.js';

/** Age from which a reported load says little, in ms: a stream lasts about a second. */
const LOAD_AGE_MILLISECONDS = 1_500;

/** Age up to which the load that entries share goes before a reported one, in ms. */
const SHARED_AGE_MILLISECONDS = 600;

/** Weight of the newest outcome in the failure rate. */
const FAILURE_WEIGHT = 0.15;

/** Weight of the newest answer in the mean latency. */
const LATENCY_WEIGHT = 0.2;

/** First time for which a target that refused connections is left out, in ms; doubles with each failure. */
const FIRST_BACKOFF_MILLISECONDS = 150;

/** Longest such time, in ms. */
const LONGEST_BACKOFF_MILLISECONDS = 2_000;

/** Time for which a doubt is told to the holder of the lease, in ms: two messages. */
const DOUBT_MILLISECONDS = 250;

/** What this process knows of one target from its own requests. */
export default class TargetState {
  readonly #clock: Clock;

  /** Own requests that are under way. */
  outstanding = 0;

  /** Streams of this process that run on the target. */
  readonly streams = new Set<RunningStream>();

  readonly coldStart = new ColdStartLimiter();

  /** Share of requests that failed at the target, recent ones more. */
  failureRate = 0;

  /** Mean time to an answer of a plain target, in ms; 0 before the first. */
  latencyMilliseconds = 0;

  /** Monotonic time of the last sign of life, in ms. */
  lastProgressAt = Number.NEGATIVE_INFINITY;

  #othersLoad = 0;

  #sharedOthers = 0;

  #sharedAt = Number.NEGATIVE_INFINITY;

  /** Own requests when they were last told to the other entries. */
  #toldOutstanding = 0;

  #sharedUnread = 0;

  #toldUnread = 0;

  #loadAt = Number.NEGATIVE_INFINITY;

  #unreachableUntil = Number.NEGATIVE_INFINITY;

  #backoff = FIRST_BACKOFF_MILLISECONDS;

  #suspectedUntil = Number.NEGATIVE_INFINITY;

  #suspectedFormation = '';

  #doubtedUntil = Number.NEGATIVE_INFINITY;

  #doubtedFormation = '';

  /** Until when a life of the target wants no requests from here. */
  #heldOff: { readonly bornAt: number | null; readonly until: number } | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes in the load that came with an answer; it counts the own requests too. */
  recordReportedLoad(load: ReportedLoad): void {
    this.#othersLoad = Math.max(0, load.running + load.waiting - this.outstanding);
    this.#loadAt = this.#now();
  }

  /** Prompt tokens of own requests that have not brought an event. */
  get unreadTokens(): number {
    return [...this.streams].filter(({ lastEventAt }) => lastEventAt === null)
      .reduce((sum, { promptTokens }) => sum + promptTokens, 0);
  }

  /** Whether the requests of all entries at the target are known. */
  get hasSharedLoad(): boolean {
    return this.#now() - this.#sharedAt < SHARED_AGE_MILLISECONDS;
  }

  /**
   * Prompt tokens that the target may still have to read, for all entries.
   * @param othersGuess Those of the other entries where nothing is known of them.
   */
  estimateUnreadTokens(othersGuess = 0): number {
    return this.unreadTokens + (this.hasSharedLoad ? this.#sharedUnread : othersGuess);
  }

  /** Notes that the own requests are told to the other entries. */
  recordStatusSent(): void {
    this.#toldOutstanding = this.outstanding;
    this.#toldUnread = this.unreadTokens;
  }

  /** Takes in the requests of all entries, the own ones included. */
  recordSharedLoad(outstanding: number, unreadTokens: number): void {
    this.#sharedOthers = Math.max(0, outstanding - this.#toldOutstanding);
    this.#sharedUnread = Math.max(0, unreadTokens - this.#toldUnread);
    this.#sharedAt = this.#now();
  }

  /**
   * Requests of all entries on the target, estimated.
   * @param entries Live entries, this one included.
   * @param meanOutstanding Own requests at a target of this kind, on average. Where nothing is known of the
   * other entries, they are taken to have as many.
   */
  estimateLoad(entries: number, meanOutstanding: number): number {
    if (this.hasSharedLoad) {
      return this.outstanding + this.#sharedOthers;
    }
    const age = this.#now() - this.#loadAt;
    const freshness = Math.max(0, 1 - age / LOAD_AGE_MILLISECONDS);
    const guess = meanOutstanding * (entries - 1);
    const others = Number.isFinite(age) ? this.#othersLoad * freshness + guess * (1 - freshness) : guess;
    return this.outstanding + others;
  }

  /** The target gave a sign of life. */
  recordProgress(): void {
    this.lastProgressAt = this.#now();
    this.#backoff = FIRST_BACKOFF_MILLISECONDS;
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

  /** No connection was made, or the target refused work. */
  recordUnreachable(): void {
    this.#unreachableUntil = this.#now() + this.#backoff;
    this.#backoff = Math.min(LONGEST_BACKOFF_MILLISECONDS, this.#backoff * 2);
  }

  get isUnreachable(): boolean {
    return this.#now() < this.#unreachableUntil;
  }

  /** The target wants no requests from here for a while; it holds for this life of it. */
  holdOff(bornAt: number | null, milliseconds: number): void {
    const until = this.#now() + milliseconds;
    const isLonger = this.#heldOff === null || this.#heldOff.bornAt !== bornAt || this.#heldOff.until < until;
    this.#heldOff = isLonger ? { bornAt, until } : this.#heldOff;
  }

  /** Time for which a life of the target still wants no requests from here, in ms; 0 when it takes them. */
  heldOffMilliseconds(bornAt: number | null): number {
    return this.#heldOff === null || this.#heldOff.bornAt !== bornAt
      ? 0 : Math.max(0, this.#heldOff.until - this.#now());
  }

  /** Whether any life of the target still wants no requests from here. */
  get isHeldOff(): boolean {
    return this.#heldOff !== null && this.#heldOff.until > this.#now();
  }

  /** Leaves the target out for a while, unless its group is formed anew. */
  suspect(formation: string, milliseconds: number): void {
    this.#suspectedUntil = this.#now() + milliseconds;
    this.#suspectedFormation = formation;
  }

  isSuspected(formation: string): boolean {
    return this.#now() < this.#suspectedUntil && this.#suspectedFormation === formation;
  }

  /** Notes that the target has been silent for so long that its group should be asked. */
  doubt(formation: string): void {
    this.#doubtedUntil = this.#now() + DOUBT_MILLISECONDS;
    this.#doubtedFormation = formation;
  }

  isDoubted(formation: string): boolean {
    return this.#now() < this.#doubtedUntil && this.#doubtedFormation === formation;
  }

  /** Notes that a request is sent. */
  recordSend(): void {
    this.coldStart.recordSend(this.#now());
  }

  #now(): number {
    return this.#clock.monotonicMilliseconds();
  }
}
