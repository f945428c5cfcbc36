import type { Clock } from '@dandelionlane/core';
import {
  assessAnswer, type AnswerAssessment, type MemberIncarnation, type VMSighting,
} from '@dandelionlane/routing';
import type ReplicaTarget from '../targets/ReplicaTarget.js';
import type TargetTable from '../targets/TargetTable.js';

/** How often a report that was lost on its way is asked for again. */
const MAXIMUM_RETRIES = 2;

function lacksObservation(assessment: AnswerAssessment): boolean {
  return assessment.kind === 'invalid'
    && (assessment.reason === 'member-unseen' || assessment.reason === 'member-stale');
}

/** Checks a replica before bytes of an answer go out. */
export default class AnswerChecker {
  readonly #table: TargetTable;

  readonly #clock: Clock;

  readonly #freshnessMilliseconds: number;

  /** Rounds of questions that have not begun, one a replica. */
  readonly #pendingRounds = new WeakMap<ReplicaTarget, Promise<readonly VMSighting[]>>();

  constructor(table: TargetTable, clock: Clock, freshnessMilliseconds: number) {
    this.#table = table;
    this.#clock = clock;
    this.#freshnessMilliseconds = freshnessMilliseconds;
  }

  /** Whether the bytes of an answer show by themselves that the replica is whole. */
  static isSingleVM(target: ReplicaTarget): boolean {
    return target.replica.members.length === 1;
  }

  /**
   * Asks every member anew, since a sighting from before the answer's end says nothing
   * about the answer. A report that was lost on its way is asked for again; a member
   * that was seen in another state is not. A replica of one VM is known to be whole by
   * its answer.
   */
  async check(target: ReplicaTarget, incarnations: readonly MemberIncarnation[]): Promise<AnswerAssessment> {
    if (AnswerChecker.isSingleVM(target)) {
      return { kind: 'valid' };
    }
    let assessment = await this.#checkOnce(target, incarnations);
    for (let retry = 0; retry < MAXIMUM_RETRIES && lacksObservation(assessment); retry += 1) {
      assessment = await this.#checkOnce(target, incarnations);
    }
    return assessment;
  }

  async #checkOnce(
    target: ReplicaTarget,
    incarnations: readonly MemberIncarnation[],
  ): Promise<AnswerAssessment> {
    const observations = await this.#nextRound(target);
    const now = this.#clock.monotonicMilliseconds();
    return assessAnswer(target.replica, observations, now, this.#freshnessMilliseconds, incarnations);
  }

  /** Resolves when every member has been asked anew. */
  async refresh(target: ReplicaTarget): Promise<void> {
    await this.#nextRound(target);
  }

  /** Sightings of all members made after this call. All that wait for one replica share a round. */
  #nextRound(target: ReplicaTarget): Promise<readonly VMSighting[]> {
    const pending = this.#pendingRounds.get(target);
    if (pending !== undefined) {
      return pending;
    }
    const round = this.#pollAll(target);
    this.#pendingRounds.set(target, round);
    return round;
  }

  async #pollAll(target: ReplicaTarget): Promise<readonly VMSighting[]> {
    const { members } = target.replica;
    const allPollable = Promise.all(members.map((member) => this.#table.waitUntilPollable(member)));
    await allPollable;
    // From here on the round is under way: who comes later waits for the next one.
    this.#pendingRounds.delete(target);
    const polledAt = this.#clock.monotonicMilliseconds();
    await Promise.all(members.map((member) => this.#table.poll(member)));
    return this.#table.observationsSince(members, polledAt);
  }
}
