import type { Clock } from '@dandelionlane/core';
import { assessAnswer, type AnswerAssessment, type MemberIncarnation } from '@dandelionlane/routing';
import type ReplicaSlot from '../targets/ReplicaSlot.js';
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

  constructor(table: TargetTable, clock: Clock, freshnessMilliseconds: number) {
    this.#table = table;
    this.#clock = clock;
    this.#freshnessMilliseconds = freshnessMilliseconds;
  }

  /**
   * Asks every member anew, since a sighting from before the answer's end says nothing
   * about the answer. A report that was lost on its way is asked for again; a member
   * that was seen in another state is not. A replica of one VM is known to be whole by
   * its answer.
   */
  async check(slot: ReplicaSlot, incarnations: readonly MemberIncarnation[]): Promise<AnswerAssessment> {
    const { members } = slot.replica;
    if (members.length === 1) {
      return { kind: 'valid' };
    }
    let assessment = await this.#checkOnce(slot, incarnations);
    for (let repeat = 0; repeat < REPEATS && isUnseen(assessment); repeat += 1) {
      assessment = await this.#checkOnce(slot, incarnations);
    }
    return assessment;
  }

  async #checkOnce(slot: ReplicaSlot, incarnations: readonly MemberIncarnation[]): Promise<AnswerAssessment> {
    const { members } = slot.replica;
    const askedAt = this.#clock.monotonicMilliseconds();
    await Promise.all(members.map((member) => this.#table.ask(member)));
    const sightings = this.#table.sightingsOf(members)
      .filter(({ seenAtMilliseconds }) => seenAtMilliseconds >= askedAt);
    const now = this.#clock.monotonicMilliseconds();
    return assessAnswer(slot.replica, sightings, now, this.#freshnessMilliseconds, incarnations);
  }
}
