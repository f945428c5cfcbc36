import type { Priority, RequestId, TeamId } from '@dandelionlane/core';
import type AdmissionDecision from './AdmissionDecision.js';
import type AdmissionQueueOptions from './AdmissionQueueOptions.js';
import type AdmissionRequest from './AdmissionRequest.js';
import type AdmittedRequest from './AdmittedRequest.js';
import BATCH_SLOT_INTERVAL from './BATCH_SLOT_INTERVAL.js';
import estimateWait from './estimateWait.js';
import findWaterLevel from './findWaterLevel.js';
import pickTeam from './pickTeam.js';
import type CapacitySnapshot from './CapacitySnapshot.js';
import type Refusal from './Refusal.js';
import type RefusalKind from './RefusalKind.js';
import retryAfterSeconds from './retryAfterSeconds.js';
import ServiceRate from './ServiceRate.js';
import TeamState from './TeamState.js';

/** Share of the slots that a team at its fair share leaves free while other teams are active. */
const RESERVED_SHARE = 1 / 16;

/** An offered request is queued only if it could wait this many times its expected wait. */
const OFFER_WAIT_FACTOR = 1.5;

/** A waiting request is refused when its expected wait exceeds the time left by this factor. */
const EXPIRY_WAIT_FACTOR = 1.25;

/**
 * Shares the in-flight slots of one service among teams by weighted max-min
 * fairness and queues the requests that have to wait.
 *
 * Invariants: at most `capacity` requests are in flight, except right after the
 * capacity was reduced. A request waits only while its team may take no slot and it
 * can still meet its deadline at the current service rate; otherwise it is refused
 * by the call that detects this. A free slot goes to the waiting team with the
 * fewest requests in flight relative to its weight. While several teams are active,
 * a team at its fair share leaves `RESERVED_SHARE` of the slots to the others, so
 * that they need not wait for one of its requests to end.
 */
export default class AdmissionQueue {
  #options: AdmissionQueueOptions;

  #capacity: number;

  #teams = new Map<TeamId, TeamState>();

  #admitted = new Map<RequestId, AdmittedRequest>();

  #queued = 0;

  #admissions = 0;

  #consecutiveInteractive = 0;

  #serviceRate: ServiceRate;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
    this.#capacity = options.capacity;
    this.#serviceRate = new ServiceRate(options.initialServiceMilliseconds);
  }

  /** Requests in flight. */
  get running(): number {
    return this.#admitted.size;
  }

  /** Whether a slot is free and no request waits for it. */
  get hasFreeSlot(): boolean {
    return this.#queued === 0 && this.running < this.#capacity;
  }

  /** Requests waiting, over all teams. */
  get queued(): number {
    return this.#queued;
  }

  /** Requests of one team that are in flight. */
  runningOf(team: TeamId): number {
    return this.#teams.get(team)?.running ?? 0;
  }

  /** Sets how many requests may be in flight and returns the waiting requests that this admits. */
  setCapacity(capacity: number, monotonicMilliseconds: number): readonly RequestId[] {
    this.#capacity = capacity;
    return this.admitWaiting(monotonicMilliseconds);
  }

  /** Admits, queues or refuses a new request. */
  offer(request: AdmissionRequest, monotonicMilliseconds: number): AdmissionDecision {
    if (monotonicMilliseconds + request.expectedServiceMilliseconds > request.deadlineMilliseconds) {
      return { kind: 'refused', refusal: AdmissionQueue.#createRefusal(request, 'deadline-unreachable', 0) };
    }
    const team = this.#findOrCreateTeam(request.team);
    const waiting = team.waiting[request.priority];
    waiting.set(request.requestId, request);
    this.#queued += 1;
    if (team.queued === 1 && this.#hasSlotFor(team)) {
      this.#removeWaiting(team, request.requestId);
      this.#admit(team, request, monotonicMilliseconds);
      return { kind: 'admitted' };
    }
    const snapshot = this.#capacitySnapshot(monotonicMilliseconds);
    const wait = estimateWait(team, this.#teams, waiting.size, request.priority, snapshot);
    const kind = this.#findRefusalKind(team, request, wait * OFFER_WAIT_FACTOR, monotonicMilliseconds);
    if (kind === null) {
      return { kind: 'queued', expectedWaitMilliseconds: wait };
    }
    this.#removeWaiting(team, request.requestId);
    this.#removeIfIdle(team);
    return { kind: 'refused', refusal: AdmissionQueue.#createRefusal(request, kind, wait) };
  }

  /** Records that an admitted request ended and returns the waiting requests that this admits. */
  release(requestId: RequestId, monotonicMilliseconds: number): readonly RequestId[] {
    const admitted = this.#admitted.get(requestId);
    if (admitted === undefined) {
      return [];
    }
    this.#admitted.delete(requestId);
    const team = this.#findOrCreateTeam(admitted.team);
    team.recordRelease();
    this.#serviceRate.recordRelease(
      monotonicMilliseconds - admitted.admittedAtMilliseconds,
      monotonicMilliseconds,
    );
    this.#removeIfIdle(team);
    return this.admitWaiting(monotonicMilliseconds);
  }

  /** Refuses the waiting requests that can no longer meet their deadline. Call it periodically. */
  expire(monotonicMilliseconds: number): readonly Refusal[] {
    const refusals: Refusal[] = [];
    for (const team of this.#teams.values()) {
      this.#expireClass(team, 'interactive', monotonicMilliseconds, refusals);
      this.#expireClass(team, 'batch', monotonicMilliseconds, refusals);
      this.#removeIfIdle(team);
    }
    return refusals;
  }

  /** Removes a waiting request whose caller has disconnected. False if it is not waiting. */
  cancel(requestId: RequestId): boolean {
    for (const team of this.#teams.values()) {
      if (this.#removeWaiting(team, requestId)) {
        this.#removeIfIdle(team);
        return true;
      }
    }
    return false;
  }

  /**
   * Admits the waiting requests that may take a slot and returns them. Call it after
   * `cancel` and `expire`, which may let other requests go ahead; all other methods
   * admit by themselves.
   */
  admitWaiting(monotonicMilliseconds: number): readonly RequestId[] {
    const admitted: RequestId[] = [];
    for (;;) {
      const requestId = this.#admitNext(monotonicMilliseconds);
      if (requestId === undefined) {
        return admitted;
      }
      admitted.push(requestId);
    }
  }

  static #createRefusal(request: AdmissionRequest, kind: RefusalKind, waitMilliseconds: number): Refusal {
    return {
      requestId: request.requestId,
      kind,
      retryAfterSeconds: retryAfterSeconds(waitMilliseconds),
    };
  }

  #capacitySnapshot(monotonicMilliseconds: number): CapacitySnapshot {
    const unreserved = this.#capacity - this.#reservedSlots();
    return {
      capacity: this.#capacity,
      unreserved,
      waterLevel: findWaterLevel(this.#teams.values(), unreserved),
      releaseIntervalMilliseconds: this.#serviceRate
        .releaseIntervalMilliseconds(this.#capacity, monotonicMilliseconds),
    };
  }

  /** Why a request with this wait is refused; null if it may wait. */
  #findRefusalKind(
    team: TeamState,
    request: AdmissionRequest,
    waitMilliseconds: number,
    monotonicMilliseconds: number,
  ): RefusalKind | null {
    const startMilliseconds = monotonicMilliseconds + waitMilliseconds;
    const endMilliseconds = startMilliseconds + request.expectedServiceMilliseconds;
    const isFull = this.#capacity <= 0 || this.#queued > this.#options.maximumQueued;
    const isTooLong = startMilliseconds > request.queueUntilMilliseconds;
    const isTooLate = endMilliseconds > request.deadlineMilliseconds;
    if (!isFull && !isTooLong && !isTooLate) {
      return null;
    }
    if (this.#isOverShare(team)) {
      return 'team-over-share';
    }
    return isFull || !isTooLate ? 'overloaded' : 'deadline-unreachable';
  }

  /** Whether a team demands more slots than its max-min fair share. */
  #isOverShare(team: TeamState): boolean {
    return this.#teams.size > 1 && team.demand > this.#waterLevel() * team.weight;
  }

  #waterLevel(): number {
    return findWaterLevel(this.#teams.values(), this.#capacity);
  }

  /** Slots that a team at its fair share may not take while several teams are active. */
  #reservedSlots(): number {
    return this.#teams.size > 1 ? Math.floor(this.#capacity * RESERVED_SHARE) : 0;
  }

  /** Whether a team may take a slot now. The reserved slots are for teams below their fair share. */
  #hasSlotFor(team: TeamState): boolean {
    const unreserved = this.#capacity - this.#reservedSlots();
    if (this.running < unreserved || this.running >= this.#capacity) {
      return this.running < unreserved;
    }
    return team.level < findWaterLevel(this.#teams.values(), unreserved);
  }

  #admitNext(monotonicMilliseconds: number): RequestId | undefined {
    if (this.#queued === 0 || this.running >= this.#capacity) {
      return undefined;
    }
    const first = this.#nextPriority();
    return this.#admitFromClass(first, monotonicMilliseconds)
      ?? this.#admitFromClass(first === 'batch' ? 'interactive' : 'batch', monotonicMilliseconds);
  }

  #admitFromClass(priority: Priority, monotonicMilliseconds: number): RequestId | undefined {
    const team = pickTeam(this.#teams.values(), priority);
    const [request] = team?.waiting[priority].values() ?? [];
    if (team === undefined || request === undefined || !this.#hasSlotFor(team)) {
      return undefined;
    }
    this.#removeWaiting(team, request.requestId);
    this.#consecutiveInteractive = priority === 'interactive' ? this.#consecutiveInteractive + 1 : 0;
    this.#admit(team, request, monotonicMilliseconds);
    return request.requestId;
  }

  /** Interactive requests go before batch ones, except for one slot in `BATCH_SLOT_INTERVAL`. */
  #nextPriority(): Priority {
    const isBatchTurn = this.#consecutiveInteractive >= BATCH_SLOT_INTERVAL - 1;
    return isBatchTurn || !this.#isWaiting('interactive') ? 'batch' : 'interactive';
  }

  #isWaiting(priority: Priority): boolean {
    for (const { waiting } of this.#teams.values()) {
      if (waiting[priority].size > 0) {
        return true;
      }
    }
    return false;
  }

  #admit(team: TeamState, request: AdmissionRequest, monotonicMilliseconds: number): void {
    if (this.running === 0) {
      this.#serviceRate.recordIdle(monotonicMilliseconds);
    }
    this.#admissions += 1;
    team.recordAdmission(this.#admissions);
    this.#admitted.set(request.requestId, {
      team: team.team,
      admittedAtMilliseconds: monotonicMilliseconds,
    });
  }

  #expireClass(
    team: TeamState,
    priority: Priority,
    monotonicMilliseconds: number,
    refusals: Refusal[],
  ): void {
    if (team.waiting[priority].size === 0) {
      return;
    }
    let snapshot = this.#capacitySnapshot(monotonicMilliseconds);
    let position = 1;
    for (const request of team.waiting[priority].values()) {
      const wait = estimateWait(team, this.#teams, position, priority, snapshot);
      const kind = this.#findRefusalKind(team, request, wait / EXPIRY_WAIT_FACTOR, monotonicMilliseconds);
      if (kind === null) {
        position += 1;
      } else {
        this.#removeWaiting(team, request.requestId);
        refusals.push(AdmissionQueue.#createRefusal(request, kind, wait));
        snapshot = this.#capacitySnapshot(monotonicMilliseconds);
      }
    }
  }

  #removeWaiting(team: TeamState, requestId: RequestId): boolean {
    const isRemoved = team.waiting.interactive.delete(requestId)
      || team.waiting.batch.delete(requestId);
    this.#queued -= isRemoved ? 1 : 0;
    return isRemoved;
  }

  #findOrCreateTeam(team: TeamId): TeamState {
    const known = this.#teams.get(team);
    if (known !== undefined) {
      return known;
    }
    const created = new TeamState(team, this.#options.weightOf(team));
    this.#teams.set(team, created);
    return created;
  }

  #removeIfIdle(team: TeamState): void {
    if (team.demand === 0) {
      this.#teams.delete(team.team);
    }
  }
}
