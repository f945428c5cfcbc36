import type { Clock } from '@dandelionlane/core';

/**
 * Time within which a lost group serves again if it has a spare, in ms: measured repairs took up to
 * 0.9 s, and 1.4 s where the spare had to be warmed up. A longer absence is one of a load of weights.
 */
const REPAIR_MILLISECONDS = 1_500;

/** Time after which an observation says nothing of the present, in ms. */
const OBSERVATION_MILLISECONDS = 1_000;

/** How long there has been no target, in monotonic times in ms. */
interface Absence {
  readonly since: number;
  readonly seenAt: number;
}

/** Tells a queue that has had no target for a moment from one that will have none for seconds. */
export default class TargetAbsence {
  readonly #clock: Clock;

  readonly #absences = new Map<string, Absence>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes in whether a choice for a queue found any target at all, a busy one for instance. */
  note(queue: string, hasTarget: boolean): void {
    if (hasTarget) {
      this.#absences.delete(queue);
      return;
    }
    const now = this.#clock.monotonicMilliseconds();
    const known = this.#absences.get(queue);
    const goesOn = known !== undefined && now - known.seenAt < OBSERVATION_MILLISECONDS;
    this.#absences.set(queue, { since: goesOn ? known.since : now, seenAt: now });
  }

  /** Whether a queue has had no target for longer than a repair takes. */
  isLasting(queue: string): boolean {
    const now = this.#clock.monotonicMilliseconds();
    const known = this.#absences.get(queue);
    return known !== undefined && now - known.since >= REPAIR_MILLISECONDS
      && now - known.seenAt < OBSERVATION_MILLISECONDS;
  }
}
