import type { Clock } from '@dandelionlane/core';
import {
  assessAnswer, type AnswerAssessment, type MemberIncarnation, type VMSighting,
} from '@dandelionlane/routing';
import type ReplicaTarget from '../targets/ReplicaTarget.js';
import type TargetTable from '../targets/TargetTable.js';

/** How often a report that was lost on its way is asked for again. */
const REPEATS = 2;

function isUnseen(assessment: AnswerAssessment): boolean {
  return assessment.kind === 'invalid'
    && (assessment.reason === 'member-unseen' || assessment.reason === 'member-stale');
}

/** Checks a replica before bytes of an answer go out. */
export default class AnswerChecker {
  readonly #table: TargetTable;

  readonly #clock: Clock;

  readonly #freshnessMilliseconds: number;

  /** Rounds of questions that have not begun, one a replica. */
  readonly #rounds = new WeakMap<ReplicaTarget, Promise<readonly VMSighting[]>>();

  constructor(table: TargetTable, clock: Clock, freshnessMilliseconds: number) {
    this.#table = table;
    this.#clock = clock;
    this.#freshnessMilliseconds = freshnessMilliseconds;
  }

  /** Whether the bytes of an answer show by themselves that the replica is whole. */
  static isSingleVM(slot: ReplicaTarget): boolean {
    return slot.replica.members.length === 1;
  }

  /**
   * Asks every member anew, since a sighting from before the answer's end says nothing
   * about the answer. A report that was lost on its way is asked for again; a member
   * that was seen in another state is not. A replica of one VM is known to be whole by
   * its answer.
   */
  async check(slot: ReplicaTarget, incarnations: readonly MemberIncarnation[]): Promise<AnswerAssessment> {
    if (AnswerChecker.isSingleVM(slot)) {
      return { kind: 'valid' };
    }
    let assessment = await this.#checkOnce(slot, incarnations);
    for (let repeat = 0; repeat < REPEATS && isUnseen(assessment); repeat += 1) {
      assessment = await this.#checkOnce(slot, incarnations);
    }
    return assessment;
  }

  async #checkOnce(
    slot: ReplicaTarget,
    incarnations: readonly MemberIncarnation[],
  ): Promise<AnswerAssessment> {
    const sightings = await this.#nextRound(slot);
    const now = this.#clock.monotonicMilliseconds();
    return assessAnswer(slot.replica, sightings, now, this.#freshnessMilliseconds, incarnations);
  }

  /** Resolves when every member has been asked anew. */
  async refresh(slot: ReplicaTarget): Promise<void> {
    await this.#nextRound(slot);
  }

  /** Sightings of all members made after this call. All that wait for one replica share a round. */
  #nextRound(slot: ReplicaTarget): Promise<readonly VMSighting[]> {
    const waiting = this.#rounds.get(slot);
    if (waiting !== undefined) {
      return waiting;
    }
    const round = this.#askAll(slot);
    this.#rounds.set(slot, round);
    return round;
  }

  async #askAll(slot: ReplicaTarget): Promise<readonly VMSighting[]> {
    const { members } = slot.replica;
    const begins = Promise.all(members.map((member) => this.#table.waitUntilPollable(member)));
    await begins;
    // From here on the round is under way: who comes later waits for the next one.
    this.#rounds.delete(slot);
    const askedAt = this.#clock.monotonicMilliseconds();
    await Promise.all(members.map((member) => this.#table.poll(member)));
    return this.#table.observationsSince(members, askedAt);
  }
}
