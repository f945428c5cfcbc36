import type { RandomSource } from '@dandelionlane/core';

/** Streams per second of all entries with which the speed of one slow target is measured again. */
const PROBES_PER_SECOND = 1;

/** Largest share of the streams that probe slow targets. */
const MAXIMUM_SHARE = 0.05;

/** Inputs of `drawProbe`. */
interface ProbeDraw<Target> {
  /** Slow targets that have not been measured lately. */
  readonly targets: readonly Target[];
  /** Streams per second of all entries that know the slow targets; of this one where that is not shared. */
  readonly arrivalsPerSecond: number;
  readonly random: RandomSource;
}

/** Draws the slow target, if any, that a stream is sent to so that its recovery is noticed. */
export default function drawProbe<Target>(
  { targets, arrivalsPerSecond, random }: ProbeDraw<Target>,
): Target | null {
  if (targets.length === 0) {
    return null;
  }
  const share = Math.min(MAXIMUM_SHARE, (PROBES_PER_SECOND * targets.length) / arrivalsPerSecond);
  return random.next() < share ? targets[Math.floor(random.next() * targets.length)] ?? null : null;
}
