import type { AvailabilityZoneId, RandomSource } from '@dandelionlane/core';
import type Choice from './Choice.js';
import type LoadedCandidate from './LoadedCandidate.js';

/** Advantage of a target in the own zone, in requests: bytes between zones are priced. */
const OWN_ZONE_BONUS = 2;

/** Spread of the random part, in requests: keeps entries from choosing alike. */
const RANDOM_SPREAD = 0.8;

/** Factor on the load of a target that fails all its requests. */
const FAILURE_FACTOR = 12;

/** The plain target that is likely to answer first; those that fail requests are avoided. */
export default function choosePlainTarget(
  loaded: readonly LoadedCandidate[],
  zone: AvailabilityZoneId,
  random: RandomSource,
): Choice {
  const scored = loaded.map(({ candidate, load }) => {
    const { state, entry } = candidate;
    const slowness = Math.max(1, state.latencyMilliseconds);
    const noise = random.next() * RANDOM_SPREAD;
    const bonus = entry.worker.zone === zone ? OWN_ZONE_BONUS : 0;
    const score = (load + 1 + noise) * (1 + FAILURE_FACTOR * state.failureRate ** 2) * slowness - bonus;
    return { candidate, load, score };
  });
  const best = scored.reduce((least, item) => (item.score < least.score ? item : least));
  return {
    kind: 'chosen', candidate: best.candidate, load: best.load, prediction: null, candidates: scored.length,
  };
}
