import type { ModelName } from '@dandelionlane/core';
import type { GroupMembership, Worker, WorkerReport } from '@dandelionlane/fleet';
import MISSES_UNTIL_SILENT from './MISSES_UNTIL_SILENT.js';
import type ObservedWorker from './ObservedWorker.js';
import toMembershipKey from './toMembershipKey.js';

/** Time between two questions to a worker of a group, in ms: its streams tell sooner when it stands still. */
const MEMBER_PROBE_INTERVAL_MILLISECONDS = 1_000;

/** Time between two questions to a spare, in ms. */
const SPARE_PROBE_INTERVAL_MILLISECONDS = 2_000;

/** Time between two questions to a worker whose state is about to change, in ms. */
const CHANGING_PROBE_INTERVAL_MILLISECONDS = 80;

/** Time in which a worker that joins has brought weights from its host; longer ones are loaded, in ms. */
const WARM_JOIN_LIMIT_MILLISECONDS = 2_000;

/** Time between two questions to a worker that loads weights, in ms: its registration tells the end too. */
const LOADING_PROBE_INTERVAL_MILLISECONDS = 400;

/** Time between two questions to a worker that has been silent for long, in ms. */
const SILENT_PROBE_INTERVAL_MILLISECONDS = 700;

/** Time after which an accepted order that no report counts is taken to be lost, in ms. */
const ORDER_EFFECT_TIMEOUT_MILLISECONDS = 1_000;

/** Time after an accepted order in which a registration may still tell of the time before it, in ms. */
const REGISTRATION_LAG_MILLISECONDS = 400;

/** Time after an accepted order to open in which it is not repeated, in ms: heads take some hundred ms. */
const OPEN_RETRY_DELAY_MILLISECONDS = 1_000;

/** What an unanswered question counts when streams of the group have fallen silent too. */
const EXPEDITED_MISSES = 2;

/**
 * What the holder of the lease knows of one life of a worker, by its registration, its reports and its
 * answers to orders. Times are monotonic, in ms.
 *
 * Invariant: what a registration or an accepted order tells of its group is never undone by a
 * report that was made before.
 */
export default class WorkerTracker {
  #worker: Worker;

  #isRegistered: boolean;

  #report: WorkerReport | null = null;

  /** Whether another life answers at its address. */
  hasEnded = false;

  /** Whether a question is under way. */
  isProbing = false;

  #misses = 0;

  #answeredAt: number;

  #probedAt = Number.NEGATIVE_INFINITY;

  #groupChangedAt: number;

  /** `ended`: the order's call is over, and no report has shown its effect yet. */
  #order: 'none' | 'in-flight' | 'ended' = 'none';

  #orderEndedAt = Number.NEGATIVE_INFINITY;

  /** Orders that the worker has accepted, by its reports and its answers. */
  #orderSequence = 0;

  /** Whether it was asked out of turn since its last answer. */
  #isExpedited = false;

  /** Time from which its group is known by its registration or by an accepted order. */
  #groupKnownAt = Number.NEGATIVE_INFINITY;

  /** Time at which it last accepted to join or to leave a group. */
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

  /** Whether an order's call is over whose effect has not been seen. */
  get isAwaitingEffect(): boolean {
    return this.#order === 'ended';
  }

  /** Whether its report names another group than its registration, and it answers. */
  get hasUnregisteredGroup(): boolean {
    return this.#report !== null && this.#misses === 0
      && toMembershipKey(this.#report) !== toMembershipKey(this.#worker);
  }

  isSameInstance({ bornAt, address }: Worker): boolean {
    return this.#worker.bornAt === bornAt && this.#worker.address === address;
  }

  /**
   * Time since it should have been asked, in ms; null while it is being asked or is not due.
   * @param stretch Factor of the intervals at which workers are asked whose state is not in question.
   */
  overdueMilliseconds(now: number, intervalFactor: number): number | null {
    const overdue = now - this.#probedAt - this.#probeInterval(intervalFactor, now);
    return this.isProbing || overdue < 0 ? null : overdue;
  }

  /** Whether its answer decides what becomes of a group now: it may stand still, or is in doubt. */
  get isUrgent(): boolean {
    return this.#isExpedited || (this.#misses > 0 && !this.isSilent);
  }

  /** Has it asked at the next round, unless it has just answered. */
  expedite(now: number, recentMilliseconds: number): void {
    if (!this.#isExpedited && now - this.#answeredAt > recentMilliseconds) {
      this.#probedAt = Number.NEGATIVE_INFINITY;
      this.#isExpedited = true;
    }
  }

  recordProbe(now: number): void {
    this.isProbing = true;
    this.#probedAt = now;
  }

  /** Takes its registration in. It changes at once with the group, whereas reports lag behind. */
  updateRegistration(worker: Worker, isRegistered: boolean, now: number): void {
    const hasChanged = worker.group !== this.#worker.group
      && toMembershipKey(worker) !== toMembershipKey(this.#worker);
    // A change right after an accepted order may have been on its way already; a report tells.
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
   * Takes a report in.
   * @param madeAt When the worker made it.
   * @param asksAfterOrder Whether the question was asked after the call of the last order had ended.
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

  /** A question after an order's call went unanswered: the order is not waited for any longer. */
  abandonOrder(): void {
    this.#order = this.#order === 'ended' ? 'none' : this.#order;
  }

  recordMiss(): void {
    this.#misses += this.#isExpedited ? EXPEDITED_MISSES : 1;
  }

  recordOrderSent(): void {
    this.#order = 'in-flight';
  }

  /** @param acceptedSequence Orders accepted with this one, where it has begun something. */
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

  /** Time between two questions, in ms: the more hangs on the answer, the shorter. */
  #probeInterval(intervalFactor: number, now: number): number {
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
    return intervalFactor * (group === null && !busy
      ? SPARE_PROBE_INTERVAL_MILLISECONDS : MEMBER_PROBE_INTERVAL_MILLISECONDS);
  }
}
