import { ManualClock, SeededRandom, WorkerId } from '@dandelionlane/core';
import TargetStates from '../../lib/targets/TargetStates.js';

const TARGET = WorkerId.parse('w');
const BORN_AT = 1;
const STEP_MILLISECONDS = 20;
const MESSAGE_PERIOD_MILLISECONDS = 120;
const ANSWER_MILLISECONDS = 200;
const MILLISECONDS_PER_SECOND = 1_000;

/** Time at which the target first names its limit, in ms. */
const NAMED_AT = 2_000;

/** Time after it from which the users' bound holds, in ms. */
const STABLE_WINDOW_MILLISECONDS = 3_000;

const WINDOW_MILLISECONDS = 4_000;

/** Time after which an entry is bound by a limit that the target has named in an answer to it, in ms. */
const NOTICE_MILLISECONDS = 500;

/** An answer under way. */
interface PendingAnswer {
  readonly entry: number;
  readonly at: number;
}

/** Entries and one target that names a limit from `NAMED_AT` on; all send as much as they may. */
export default class SimulatedLimits {
  readonly clock = new ManualClock();

  /** Entries whose links are down. */
  readonly unlinked = new Set<number>();

  /** Times of requests by entries that the target had told of its limit. */
  readonly sentAt: number[] = [];

  readonly #toldAt = new Map<number, number>();

  holder = 0;

  readonly #random: SeededRandom;

  readonly #limit: number;

  readonly #entries: TargetStates[];

  #pending: PendingAnswer[] = [];

  constructor(entries: number, limit: number, seed: number) {
    this.#entries = Array.from({ length: entries }, () => new TargetStates(this.clock));
    this.#limit = limit;
    this.#random = new SeededRandom(seed);
  }

  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** Starts an entry anew: it knows nothing until the holder tells it. */
  restart(entry: number): void {
    const states = new TargetStates(this.clock);
    states.recordSharedLimits(this.#at(this.holder).limitsToTell(true));
    this.#entries[entry] = states;
    this.#toldAt.delete(entry);
  }

  /** Makes another entry the holder; all entries tell it what they know. */
  changeHolder(holder: number): void {
    this.holder = holder;
    this.#entries.forEach((states) => states.tellLimitsAgain());
  }

  /** Plays 20 ms. */
  step(): void {
    this.clock.advance(STEP_MILLISECONDS);
    const due = this.#pending.filter(({ at }) => at <= this.now);
    this.#pending = this.#pending.filter(({ at }) => at > this.now);
    const requestsPerSecond = this.now >= NAMED_AT ? this.#limit : null;
    due.forEach(({ entry }) => {
      this.#at(entry).of(TARGET).limit.record({ bornAt: BORN_AT, requestsPerSecond });
      if (requestsPerSecond !== null && !this.#toldAt.has(entry)) {
        this.#toldAt.set(entry, this.now);
      }
    });
    this.#entries.forEach((states, entry) => this.#send(states, entry));
    if (this.now % MESSAGE_PERIOD_MILLISECONDS < STEP_MILLISECONDS) {
      this.#exchange();
    }
  }

  /** Most requests of all entries in a window that ends after the stable window. */
  mostInWindow(): number {
    const from = NAMED_AT + STABLE_WINDOW_MILLISECONDS;
    return Math.max(0, ...this.sentAt.filter((at) => at >= from).map((end) => (
      this.sentAt.filter((at) => at > end - WINDOW_MILLISECONDS && at <= end).length
    )));
  }

  #at(entry: number): TargetStates {
    const states = this.#entries[entry];
    if (states === undefined) {
      throw new Error(`entry ${entry} does not exist`);
    }
    return states;
  }

  /** Sends one request a second without a limit, and as many as the limit allows under one. */
  #send(states: TargetStates, entry: number): void {
    const { limit } = states.of(TARGET);
    const isLimited = limit.requestsPerSecond(BORN_AT) !== null;
    const wants = isLimited || this.#random.next() < STEP_MILLISECONDS / MILLISECONDS_PER_SECOND;
    if (wants && limit.waitMilliseconds(BORN_AT, this.#entries.length, this.#random) <= 0) {
      limit.recordSend();
      if (this.now - (this.#toldAt.get(entry) ?? Number.POSITIVE_INFINITY) >= NOTICE_MILLISECONDS) {
        this.sentAt.push(this.now);
      }
      this.#pending.push({ entry, at: this.now + ANSWER_MILLISECONDS });
    }
  }

  #exchange(): void {
    const linked = this.#entries.filter((_states, entry) => (
      entry !== this.holder && !this.unlinked.has(entry)
    ));
    const holder = this.#at(this.holder);
    linked.forEach((states) => holder.recordSharedLimits(states.limitsToTell()));
    const limits = holder.limitsToTell();
    linked.forEach((states) => states.recordSharedLimits(limits));
  }
}
