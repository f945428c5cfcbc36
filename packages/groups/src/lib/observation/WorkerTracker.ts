import type { ModelName } from '@dandelionlane/core';
import {
  formationName, type GroupMembership, type Worker, type WorkerReport,
} from '@dandelionlane/fleet';
import MISSES_UNTIL_SILENT from './MISSES_UNTIL_SILENT.js';
import type ObservedWorker from './ObservedWorker.js';
import toMembershipKey from './toMembershipKey.js';

/** Interval between probes of a group member, in ms; its streams reveal a stall sooner. */
const MEMBER_PROBE_INTERVAL_MILLISECONDS = 1_000;

/** Interval between probes of a member whose group delivers events, in ms: that takes all of its members. */
const PROGRESSING_PROBE_INTERVAL_MILLISECONDS = 3_000;

/** Interval between probes of a spare, in ms. */
const SPARE_PROBE_INTERVAL_MILLISECONDS = 2_000;

/** Interval between probes of a worker whose state is about to change, in ms. */
const CHANGING_PROBE_INTERVAL_MILLISECONDS = 80;

/** Longest join with weights that the host already has, in ms; a longer one loads the weights. */
const WARM_JOIN_LIMIT_MILLISECONDS = 2_000;

/** Interval between probes of a worker that loads weights, in ms; its registration also shows the end. */
const LOADING_PROBE_INTERVAL_MILLISECONDS = 400;

/** Interval between probes of a silent worker, in ms. */
const SILENT_PROBE_INTERVAL_MILLISECONDS = 700;

/** Time after which an order that no report has counted is assumed lost, in ms. */
const ORDER_EFFECT_TIMEOUT_MILLISECONDS = 1_000;

/** Time after an accepted order during which a registration may still show the earlier state, in ms. */
const REGISTRATION_LAG_MILLISECONDS = 400;

/** Time before an accepted order to open is repeated, in ms: heads take a few hundred ms to open. */
const OPEN_RETRY_DELAY_MILLISECONDS = 1_000;

/** Weight of an unanswered probe when streams of the group are silent too. */
const EXPEDITED_MISSES = 2;

/**
 * Tracks one instance of a worker by its registration, its reports and its answers to orders. Times
 * are monotonic, in ms.
 *
 * Invariant: a report never overwrites the group from a registration or an accepted order that is newer
 * than the report.
 */
export default class WorkerTracker {
  #worker: Worker;

  #isRegistered: boolean;

  #report: WorkerReport | null = null;

  /** Whether another instance answers at its address. */
  hasEnded = false;

  /** Whether a probe is in flight. */
  isProbing = false;

  #misses = 0;

  #answeredAt: number;

  #probedAt = Number.NEGATIVE_INFINITY;

  #groupChangedAt: number;

  /** `ended`: the call of the order has ended, but no report has shown its effect yet. */
  #order: 'none' | 'in-flight' | 'ended' = 'none';

  #orderEndedAt = Number.NEGATIVE_INFINITY;

  /** Number of orders that the worker has accepted, according to its reports and answers. */
  #orderSequence = 0;

  /** Whether a probe was expedited since its last answer. */
  #isExpedited = false;

  /** Time at which its registration or an accepted order last set its group. */
  #groupKnownAt = Number.NEGATIVE_INFINITY;

  /** Time at which it last accepted an order to join or to leave a group. */
  #groupAcceptedAt = Number.NEGATIVE_INFINITY;

  #openAcceptedAt = Number.NEGATIVE_INFINITY;

  #lastModel: ModelName | null = null;

  constructor(worker: Worker, isRegistered: boolean, now: number) {
    this.#worker = worker;
    this.#isRegistered = isRegistered;
    this.#answeredAt = now;
    this.#groupChangedAt = now;
  }

  get worker(): Worker {
    return this.#worker;
  }

  get isRegistered(): boolean {
    return this.#isRegistered;
  }

  get report(): WorkerReport | null {
    return this.#report;
  }

  get isExpedited(): boolean {
    return this.#isExpedited;
  }

  get isSilent(): boolean {
    return this.#misses >= MISSES_UNTIL_SILENT;
  }

  /** Whether the call of an order has ended and its effect has not been reported yet. */
  get isAwaitingEffect(): boolean {
    return this.#order === 'ended';
  }

  /** Whether it answers probes and reports another group than its registration. */
  get hasUnregisteredGroup(): boolean {
    return this.#report !== null && this.#misses === 0
      && toMembershipKey(this.#report) !== toMembershipKey(this.#worker);
  }

  isSameInstance({ bornAt, address }: Worker): boolean {
    return this.#worker.bornAt === bornAt && this.#worker.address === address;
  }

  /**
   * Time since the next probe was due, in ms; null while a probe is in flight or not due.
   * @param intervalFactor Factor on the probe intervals of workers in a stable state.
   * @param progressing Formations, named `name/epoch`, that have just delivered events.
   */
  overdueMilliseconds(
    now: number,
    intervalFactor: number,
    progressing: ReadonlySet<string>,
  ): number | null {
    const overdue = now - this.#probedAt - this.#probeInterval(intervalFactor, progressing, now);
    return this.isProbing || overdue < 0 ? null : overdue;
  }

  /** Whether its group waits for the answer: the group appears stalled, or the worker missed a probe. */
  get isUrgent(): boolean {
    return this.#isExpedited || (this.#misses > 0 && !this.isSilent);
  }

  /** Makes a probe due in the next round, unless the worker answered within `recentMilliseconds`. */
  expedite(now: number, recentMilliseconds: number): void {
    if (!this.#isExpedited && now - this.#answeredAt > recentMilliseconds) {
      this.#probedAt = Number.NEGATIVE_INFINITY;
      this.#isExpedited = true;
    }
  }

  /** Makes a probe of a silent worker due now, unless one was sent within `recentMilliseconds`. */
  retry(now: number, recentMilliseconds: number): void {
    if (this.isSilent && now - this.#probedAt > recentMilliseconds) {
      this.#probedAt = Number.NEGATIVE_INFINITY;
    }
  }

  recordProbe(now: number): void {
    this.isProbing = true;
    this.#probedAt = now;
  }

  /** Updates the registration, which follows a change of the group sooner than reports do. */
  updateRegistration(worker: Worker, isRegistered: boolean, now: number): void {
    const hasChanged = worker.group !== this.#worker.group
      && toMembershipKey(worker) !== toMembershipKey(this.#worker);
    // A change right after an accepted order may predate it; the next report decides.
    if (hasChanged && now - this.#groupAcceptedAt >= REGISTRATION_LAG_MILLISECONDS) {
      this.#groupKnownAt = now;
      if (this.#report !== null) {
        const { group, stagedModels } = worker;
        this.#setReport({ ...this.#report, group, stagedModels }, now);
      }
    }
    this.#worker = worker;
    this.#isRegistered = isRegistered;
  }

  /**
   * Records the report that answered a probe.
   * @param createdAt Time at which the worker created the report.
   * @param isProbedAfterOrder Whether the probe was sent after the call of the last order had ended.
   */
  recordReport(answer: WorkerReport, now: number, createdAt: number, isProbedAfterOrder: boolean): void {
    const { group, stagedModels } = this.#report ?? answer;
    this.#setReport(createdAt < this.#groupKnownAt ? { ...answer, group, stagedModels } : answer, now);
    this.#answeredAt = now;
    this.#misses = 0;
    this.#isExpedited = false;
    const hasOrderEffect = answer.orderSequence >= this.#orderSequence
      || createdAt > this.#orderEndedAt + ORDER_EFFECT_TIMEOUT_MILLISECONDS;
    if (isProbedAfterOrder && this.#order === 'ended' && hasOrderEffect && createdAt > this.#orderEndedAt) {
      this.#order = 'none';
      this.#orderSequence = answer.orderSequence;
    }
    this.#orderSequence = Math.max(this.#orderSequence, answer.orderSequence);
  }

  /** Stops waiting for the effect of an order, after a probe that followed it went unanswered. */
  abandonOrder(): void {
    this.#order = this.#order === 'ended' ? 'none' : this.#order;
  }

  recordMiss(): void {
    this.#misses += this.#isExpedited ? EXPEDITED_MISSES : 1;
  }

  recordOrderSent(): void {
    this.#order = 'in-flight';
  }

  /** @param acceptedSequence Number of accepted orders including this one, or null if not accepted. */
  recordOrderEnded(acceptedSequence: number | null, now: number): void {
    this.#order = 'ended';
    this.#orderEndedAt = now;
    this.#orderSequence = Math.max(this.#orderSequence, acceptedSequence ?? 0);
  }

  recordGroupAccepted(group: GroupMembership | null, model: ModelName | null, now: number): void {
    if (this.#report !== null) {
      this.#order = 'none';
      this.#openAcceptedAt = Number.NEGATIVE_INFINITY;
      this.#groupAcceptedAt = now;
      this.#groupKnownAt = now;
      this.#lastModel = model ?? this.#lastModel;
      this.#setReport({ ...this.#report, group }, now);
    }
  }

  recordOpenAccepted(now: number): void {
    this.#openAcceptedAt = now;
  }

  toObserved(now: number): ObservedWorker {
    return {
      worker: this.#worker,
      isRegistered: this.#isRegistered,
      report: this.#report === null ? null : { ...this.#report, orderSequence: this.#orderSequence },
      hasEnded: this.hasEnded,
      misses: this.#misses,
      silentMilliseconds: now - this.#answeredAt,
      groupStateMilliseconds: now - this.#groupChangedAt,
      lastModel: this.#lastModel,
      isOpening: now - this.#openAcceptedAt < OPEN_RETRY_DELAY_MILLISECONDS,
      hasPendingOrder: this.#order !== 'none',
    };
  }

  #setReport(report: WorkerReport, now: number): void {
    if (this.#report === null || toMembershipKey(report) !== toMembershipKey(this.#report)) {
      this.#groupChangedAt = now;
    }
    this.#report = report;
  }

  /** Interval between probes in the current state of the worker, in ms. */
  #probeInterval(intervalFactor: number, progressing: ReadonlySet<string>, now: number): number {
    if (this.isSilent) {
      return SILENT_PROBE_INTERVAL_MILLISECONDS;
    }
    if (this.#misses > 0 || this.#report === null) {
      return 0;
    }
    const { group, busy } = this.#report;
    const isLoading = group?.state === 'joining' && now - this.#groupChangedAt > WARM_JOIN_LIMIT_MILLISECONDS;
    if (isLoading && this.#order === 'none') {
      return LOADING_PROBE_INTERVAL_MILLISECONDS;
    }
    if (this.#order !== 'none' || group?.state === 'joining' || group?.state === 'closing') {
      return CHANGING_PROBE_INTERVAL_MILLISECONDS;
    }
    if (group !== null && progressing.has(formationName(group))) {
      return Math.max(
        PROGRESSING_PROBE_INTERVAL_MILLISECONDS,
        intervalFactor * MEMBER_PROBE_INTERVAL_MILLISECONDS,
      );
    }
    return intervalFactor * (group === null && !busy
      ? SPARE_PROBE_INTERVAL_MILLISECONDS : MEMBER_PROBE_INTERVAL_MILLISECONDS);
  }
}
