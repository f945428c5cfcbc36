import type { Priority, RequestId, TeamId } from '@dandelionlane/core';
import type AdmissionDecision from './AdmissionDecision.js';
import type AdmissionQueueOptions from './AdmissionQueueOptions.js';
import type AdmissionRequest from './AdmissionRequest.js';
import type AdmittedRequest from './AdmittedRequest.js';
import BATCH_TURN from './BATCH_TURN.js';
import countBefore from './countBefore.js';
import pickTeam from './pickTeam.js';
import type Refusal from './Refusal.js';
import type RefusalKind from './RefusalKind.js';
import retryAfterSeconds from './retryAfterSeconds.js';
import ServiceRate from './ServiceRate.js';
import TeamState from './TeamState.js';

/** A waiting request is refused when its expected wait is longer than what is left by this factor. */
const REFUSAL_MARGIN = 1.25;

/**
 * Shares the places in flight of one service among teams by weighted max-min
 * fairness and keeps what has to wait.
 *
 * Invariants: no more than `capacity` requests are admitted at a time, save right
 * after the capacity fell. A request waits only while all places are taken and, by
 * the present service rate, it can still meet its deadline; else it is refused in
 * the call that finds out. A place that becomes free goes to the waiting team with
 * the fewest requests in flight by weight.
 */
export default class AdmissionQueue {
  #options: AdmissionQueueOptions;

  #capacity: number;

  #teams = new Map<TeamId, TeamState>();

  #admitted = new Map<RequestId, AdmittedRequest>();

  #queued = 0;

  #turn = 0;

  #interactiveInRow = 0;

  #rate: ServiceRate;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
    this.#capacity = options.capacity;
    this.#rate = new ServiceRate(options.initialServiceMilliseconds);
  }

  /** Requests in flight. */
  get running(): number {
    return this.#admitted.size;
  }

  /** Requests that wait. */
  get queued(): number {
    return this.#queued;
  }

  /** Requests of one team in flight. */
  runningOf(team: TeamId): number {
    return this.#teams.get(team)?.running ?? 0;
  }

  /** Changes how many requests may be in flight and returns those that go next. */
  setCapacity(capacity: number, monotonicMilliseconds: number): readonly RequestId[] {
    this.#capacity = capacity;
    return this.#admitWaiting(monotonicMilliseconds);
  }

  /** Decides on a new request. */
  offer(request: AdmissionRequest, monotonicMilliseconds: number): AdmissionDecision {
    const team = this.#teamOf(request.team);
    if (this.#queued === 0 && this.running < this.#capacity) {
      return this.#offerFreePlace(team, request, monotonicMilliseconds);
    }
    const turn = team.waiting[request.priority].size + 1;
    const wait = this.#expectedWait(team, turn, request.priority, monotonicMilliseconds);
    const kind = this.#objection(team, request, wait, monotonicMilliseconds);
    if (kind !== null) {
      this.#forgetIfIdle(team);
      return { kind: 'refused', refusal: AdmissionQueue.#refuse(request, kind, wait) };
    }
    team.waiting[request.priority].set(request.requestId, request);
    this.#queued += 1;
    return { kind: 'queued', expectedWaitMilliseconds: wait };
  }

  /** Notes that a request in flight ended and returns those that go next. */
  release(requestId: RequestId, monotonicMilliseconds: number): readonly RequestId[] {
    const admitted = this.#admitted.get(requestId);
    if (admitted === undefined) {
      return [];
    }
    this.#admitted.delete(requestId);
    const team = this.#teamOf(admitted.team);
    team.noteReleased();
    this.#rate.released(monotonicMilliseconds - admitted.admittedAtMilliseconds, monotonicMilliseconds);
    this.#forgetIfIdle(team);
    return this.#admitWaiting(monotonicMilliseconds);
  }

  /** Refuses the waiting requests that can no longer meet their deadline. Call it often. */
  expire(monotonicMilliseconds: number): readonly Refusal[] {
    const refusals: Refusal[] = [];
    for (const team of this.#teams.values()) {
      this.#expireClass(team, 'interactive', monotonicMilliseconds, refusals);
      this.#expireClass(team, 'batch', monotonicMilliseconds, refusals);
      this.#forgetIfIdle(team);
    }
    return refusals;
  }

  /** Takes a waiting request out, its caller being gone. False if it does not wait. */
  cancel(requestId: RequestId): boolean {
    for (const team of this.#teams.values()) {
      if (this.#removeWaiting(team, requestId)) {
        this.#forgetIfIdle(team);
        return true;
      }
    }
    return false;
  }

  static #refuse(request: AdmissionRequest, kind: RefusalKind, waitMilliseconds: number): Refusal {
    return {
      requestId: request.requestId,
      kind,
      retryAfterSeconds: retryAfterSeconds(waitMilliseconds),
    };
  }

  #offerFreePlace(
    team: TeamState,
    request: AdmissionRequest,
    monotonicMilliseconds: number,
  ): AdmissionDecision {
    if (monotonicMilliseconds + request.expectedServiceMilliseconds > request.deadlineMilliseconds) {
      this.#forgetIfIdle(team);
      return { kind: 'refused', refusal: AdmissionQueue.#refuse(request, 'deadline-unreachable', 0) };
    }
    this.#admit(team, request, monotonicMilliseconds);
    return { kind: 'admitted' };
  }

  /** Expected wait of the `turn`-th next request of a team's class, in milliseconds. */
  #expectedWait(
    team: TeamState,
    turn: number,
    priority: Priority,
    monotonicMilliseconds: number,
  ): number {
    const before = countBefore(team, this.#teams, turn, priority);
    return (before + 1) * this.#rate.intervalMilliseconds(this.#capacity, monotonicMilliseconds);
  }

  /** Why a request that would wait so long is refused, or null. */
  #objection(
    team: TeamState,
    request: AdmissionRequest,
    waitMilliseconds: number,
    monotonicMilliseconds: number,
  ): RefusalKind | null {
    const startMilliseconds = monotonicMilliseconds + waitMilliseconds;
    const endMilliseconds = startMilliseconds + request.expectedServiceMilliseconds;
    const isFull = this.#capacity <= 0 || this.#queued >= this.#options.maximumQueued;
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

  /** Whether a team has or asks for more than its weight's part while others want places too. */
  #isOverShare(team: TeamState): boolean {
    let weights = 0;
    let others = 0;
    for (const other of this.#teams.values()) {
      if (other === team || other.demand > 0) {
        weights += other.weight;
        others += other === team ? 0 : 1;
      }
    }
    return others > 0 && team.demand >= (this.#capacity * team.weight) / weights;
  }

  #admitWaiting(monotonicMilliseconds: number): readonly RequestId[] {
    const admitted: RequestId[] = [];
    while (this.#queued > 0 && this.running < this.#capacity) {
      const requestId = this.#admitNext(monotonicMilliseconds);
      if (requestId === undefined) {
        break;
      }
      admitted.push(requestId);
    }
    return admitted;
  }

  #admitNext(monotonicMilliseconds: number): RequestId | undefined {
    const priority = this.#nextPriority();
    const team = pickTeam(this.#teams.values(), priority);
    const [request] = team?.waiting[priority].values() ?? [];
    if (team === undefined || request === undefined) {
      return undefined;
    }
    this.#removeWaiting(team, request.requestId);
    this.#interactiveInRow = priority === 'interactive' ? this.#interactiveInRow + 1 : 0;
    this.#admit(team, request, monotonicMilliseconds);
    return request.requestId;
  }

  /** Interactive before batch, but for every tenth place. */
  #nextPriority(): Priority {
    const teams = [...this.#teams.values()];
    const isBatchWaiting = teams.some(({ waiting }) => waiting.batch.size > 0);
    const isInteractiveWaiting = teams.some(({ waiting }) => waiting.interactive.size > 0);
    const isBatchTurn = this.#interactiveInRow >= BATCH_TURN - 1;
    return isBatchWaiting && (isBatchTurn || !isInteractiveWaiting) ? 'batch' : 'interactive';
  }

  #admit(team: TeamState, request: AdmissionRequest, monotonicMilliseconds: number): void {
    if (this.running === 0) {
      this.#rate.idleAt(monotonicMilliseconds);
    }
    this.#turn += 1;
    team.noteAdmitted(this.#turn);
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
    let turn = 1;
    for (const request of team.waiting[priority].values()) {
      const wait = this.#expectedWait(team, turn, priority, monotonicMilliseconds);
      const kind = this.#objection(team, request, wait / REFUSAL_MARGIN, monotonicMilliseconds);
      if (kind === null) {
        turn += 1;
      } else {
        this.#removeWaiting(team, request.requestId);
        refusals.push(AdmissionQueue.#refuse(request, kind, wait));
      }
    }
  }

  #removeWaiting(team: TeamState, requestId: RequestId): boolean {
    const isRemoved = team.waiting.interactive.delete(requestId)
      || team.waiting.batch.delete(requestId);
    this.#queued -= isRemoved ? 1 : 0;
    return isRemoved;
  }

  #teamOf(team: TeamId): TeamState {
    const known = this.#teams.get(team);
    if (known !== undefined) {
      return known;
    }
    const created = new TeamState(team, this.#options.weightOf(team));
    this.#teams.set(team, created);
    return created;
  }

  #forgetIfIdle(team: TeamState): void {
    if (team.demand === 0) {
      this.#teams.delete(team.team);
    }
  }
}
