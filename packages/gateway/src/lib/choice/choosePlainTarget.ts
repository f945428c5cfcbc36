import type { AvailabilityZoneId, RandomSource } from '@dandelionlane/core';
import type Choice from './Choice.js';
import type TargetState from '../targets/TargetState.js';
import type LoadedCandidate from './LoadedCandidate.js';

/** Advantage of a target in this entry's zone, in requests: traffic between zones is charged. */
const SAME_ZONE_BONUS = 2;

/** Random addition to the load, in requests: keeps entries from herding onto the same target. */
const JITTER_REQUESTS = 0.8;

/** Relative increase of the load of a target that fails all its requests. */
const FAILURE_PENALTY = 12;

/** Time without an answer up to which the latency of a target is believed, in ms. */
const LATENCY_AGE_MILLISECONDS = 1_000;

/** Time constant with which it approaches that of the fastest target from then on, in ms. */
const LATENCY_DECAY_MILLISECONDS = 2_000;

/**
 * Latency that is expected of a target. It approaches that of the fastest one while the target has no
 * requests, so that its recovery is noticed.
 */
function expectLatency({ latencyMilliseconds, speed }: TargetState, lowest: number): number {
  const idle = speed.ageMilliseconds - LATENCY_AGE_MILLISECONDS;
  const weight = Number.isFinite(idle) && idle > 0 ? Math.exp(-idle / LATENCY_DECAY_MILLISECONDS) : 1;
  return lowest + (Math.max(1, latencyMilliseconds) - lowest) * weight;
}

/** Chooses the plain target that is likely to answer first; targets that fail requests are avoided. */
export default function choosePlainTarget(
  loaded: readonly LoadedCandidate[],
  zone: AvailabilityZoneId,
  random: RandomSource,
): Choice {
  const latencies = loaded.map(({ candidate: { state } }) => Math.max(1, state.latencyMilliseconds));
  const lowest = Math.min(...latencies);
  const scored = loaded.map(({ candidate, load }) => {
    const { state, entry } = candidate;
    const latency = expectLatency(state, lowest);
    const jitter = random.next() * JITTER_REQUESTS;
    const bonus = entry.worker.zone === zone ? SAME_ZONE_BONUS : 0;
    const score = (load + 1 + jitter) * (1 + FAILURE_PENALTY * state.failureRate ** 2) * latency - bonus;
    return { candidate, load, score };
  });
  const best = scored.reduce((least, item) => (item.score < least.score ? item : least));
  return {
    kind: 'chosen', candidate: best.candidate, load: best.load, prediction: null, candidates: scored.length,
  };
}
