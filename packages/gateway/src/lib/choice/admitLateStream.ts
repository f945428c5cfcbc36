import type LoadedCandidate from './LoadedCandidate.js';
import type StreamChoiceContext from './StreamChoiceContext.js';
import drawSlot from './drawSlot.js';

/** Share of all slots that late streams and the expected ones on time may use together. */
const CAPACITY_SHARE = 0.9;

/** Longest time for which late streams wait until the loads of the other entries are known, in ms. */
const UNSHARED_WAIT_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Inputs of `admitLateStream`. */
interface LateAdmission {
  /** All targets of the model. */
  readonly targets: readonly LoadedCandidate[];
  /** Slots that may be used by late streams now, as far as the loads of the targets go. */
  readonly spareSlots: number;
  /** Mean duration of a stream, in ms. */
  readonly streamMilliseconds: number;
  readonly context: StreamChoiceContext;
}

/**
 * Whether a late stream may be sent to a target now. Late streams get the slots that those on time are
 * not expected to need: where they took slots that only look free, as after a restart of all entries,
 * they would make the streams late that follow.
 */
export default function admitLateStream({
  targets, spareSlots, streamMilliseconds, context: {
    entries, unsharedMilliseconds, random, traffic: { own, all },
  },
}: LateAdmission): boolean {
  if (entries > 1 && unsharedMilliseconds > 0 && unsharedMilliseconds < UNSHARED_WAIT_MILLISECONDS) {
    return false;
  }
  const slots = targets.reduce((sum, { candidate }) => sum + candidate.slots, 0);
  const expectedOnTime = (all.arrivalsPerSecond * streamMilliseconds) / MILLISECONDS_PER_SECOND;
  const free = Math.min(spareSlots, slots * CAPACITY_SHARE - expectedOnTime - all.lateRunning);
  return free >= 1 && drawSlot({
    free,
    own: own.onTimeWaiting + own.lateWaiting,
    all: all.onTimeWaiting + all.lateWaiting,
    random,
  });
}
