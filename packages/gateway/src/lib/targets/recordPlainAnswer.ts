import type { Clock } from '@dandelionlane/core';
import type Candidate from '../choice/Candidate.js';
import type TargetStates from './TargetStates.js';

/** Weight of an answer, in ms of expected time: as that of an event of a stream. */
const WEIGHT_MILLISECONDS = 50;

/** A whole answer of a plain target. */
interface PlainAnswer {
  /** Requests with the same kind are comparable. */
  readonly kind: string;
  readonly milliseconds: number;
  /** Requests of this process that the target had when it got this one, including it. */
  readonly outstanding: number;
}

/** Records the time of an answer, relative to the typical one, and adapts the limit of its target. */
export default function recordPlainAnswer(
  states: TargetStates,
  clock: Clock,
  {
    state: target, formation, slots, peer,
  }: Candidate,
  { kind, milliseconds, outstanding }: PlainAnswer,
): void {
  if (peer !== null || slots <= 0 || !states.conditions.isLearning) {
    return;
  }
  const state = target;
  const now = clock.monotonicMilliseconds();
  const typical = states.typicalValueOf(kind);
  typical.record(milliseconds);
  state.kind = kind;
  state.recordSteps(formation, now - milliseconds, {
    measuredMilliseconds: (WEIGHT_MILLISECONDS * Math.max(1, milliseconds)) / typical.or(milliseconds),
    expectedMilliseconds: WEIGHT_MILLISECONDS,
    load: outstanding,
    slots,
  });
  state.answerLimit.record({
    now,
    outstanding,
    slots,
    slowdown: state.slowdownAt(outstanding, slots),
    idleSlowdown: state.slowdownAt(1, slots),
  });
}
