import type { AvailabilityZoneId, RandomSource } from '@dandelionlane/core';
import type Choice from './Choice.js';
import type LoadedCandidate from './LoadedCandidate.js';

/** Advantage of a target in this entry's zone, in requests: traffic between zones is charged. */
const SAME_ZONE_BONUS = 2;

/** Random addition to the load, in requests: keeps entries from herding onto the same target. */
const JITTER_REQUESTS = 0.8;

/** Relative increase of the load of a target that fails all its requests. */
const FAILURE_PENALTY = 12;

/** Chooses the plain target that is likely to answer first; targets that fail requests are avoided. */
export default function choosePlainTarget(
  loaded: readonly LoadedCandidate[],
  zone: AvailabilityZoneId,
  random: RandomSource,
): Choice {
  const scored = loaded.map(({ candidate, load }) => {
    const { state, entry } = candidate;
    const latency = Math.max(1, state.latencyMilliseconds);
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
