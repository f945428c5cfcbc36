import type { Clock } from '@dandelionlane/core';
import {
  assessAnswer, type AnswerAssessment, type MemberIncarnation, type ReceivedReport,
} from '@dandelionlane/routing';
import type ReplicaTarget from '../targets/ReplicaTarget.js';
import type TargetTable from '../targets/TargetTable.js';

/** Retries of a check for which a member's report was missing or stale. */
const MAXIMUM_RETRIES = 2;

function lacksObservation(assessment: AnswerAssessment): boolean {
  return assessment.kind === 'invalid'
    && (assessment.reason === 'member-unseen' || assessment.reason === 'member-stale');
}

/** Verifies that a replica is still whole, with every member present, before bytes of its answer are sent. */
export default class AnswerChecker {
  readonly #table: TargetTable;

  readonly #clock: Clock;

  readonly #freshnessMilliseconds: number;

  /** Polling rounds that have not started, at most one per replica. */
  readonly #pendingRounds = new WeakMap<ReplicaTarget, Promise<readonly ReceivedReport[]>>();

  constructor(table: TargetTable, clock: Clock, freshnessMilliseconds: number) {
    this.#table = table;
    this.#clock = clock;
    this.#freshnessMilliseconds = freshnessMilliseconds;
  }

  /** Whether the replica is a single VM, so that an answer itself proves that the replica is whole. */
  static isSingleVM(target: ReplicaTarget): boolean {
    return target.replica.members.length === 1;
  }

  /**
   * Polls every member again, since a report from before the end of the answer does not
   * cover the answer. Retries if a report is missing or stale, but not if a member reported
   * another state. The answer of a single-VM replica needs no check.
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

  /** Polls every member again and resolves when the polls have ended. */
  async refresh(target: ReplicaTarget): Promise<void> {
    await this.#nextRound(target);
  }

  /** Returns reports of all members made after this call. Calls waiting for one replica share a round. */
  #nextRound(target: ReplicaTarget): Promise<readonly ReceivedReport[]> {
    const pending = this.#pendingRounds.get(target);
    if (pending !== undefined) {
      return pending;
    }
    const round = this.#pollAll(target);
    this.#pendingRounds.set(target, round);
    return round;
  }

  async #pollAll(target: ReplicaTarget): Promise<readonly ReceivedReport[]> {
    const { members } = target.replica;
    const allPollable = Promise.all(members.map((member) => this.#table.waitUntilPollable(member)));
    await allPollable;
    // The round starts here: later calls need reports made after this point and join the next round.
    this.#pendingRounds.delete(target);
    const polledAt = this.#clock.monotonicMilliseconds();
    await Promise.all(members.map((member) => this.#table.poll(member)));
    return this.#table.observationsSince(members, polledAt);
  }
}
