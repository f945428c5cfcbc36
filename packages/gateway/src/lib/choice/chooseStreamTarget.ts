import type { AvailabilityZoneId, RandomSource } from '@dandelionlane/core';
import type Choice from './Choice.js';
import type LoadedCandidate from './LoadedCandidate.js';
import type LatencyPrediction from './LatencyPrediction.js';
import type StreamRequirements from './StreamRequirements.js';
import predictLatency from './predictLatency.js';

/** Requests beyond its places that a target may be given: loads are some hundred ms old. */
const QUEUE_ALLOWANCE = 4;

/** Share of the places that is left to streams that can still be on time. */
const RESERVED_SHARE = 1 / 3;

/** Share of the places up to which a target has room for all. */
const ROOMY_SHARE = 1 / 2;

/** Tries of a waiting stream between two messages that tell the loads. */
const TRIES_BETWEEN_LOADS = 6;

/** What one request of load counts, in ms: the target has less room for what comes next. */
const LOAD_MILLISECONDS = 6;

/** Advantage of a target in the own zone, in ms: bytes between zones are priced. */
const OWN_ZONE_BONUS_MILLISECONDS = 30;

/** Handicap of a group of which not all workers are registered, in ms. */
const NOT_WHOLE_HANDICAP_MILLISECONDS = 36;

/** Spread of the random part, in ms: keeps entries from choosing alike. */
const RANDOM_SPREAD_MILLISECONDS = 5;

/** A target with how the stream would fare there. */
interface PredictedCandidate extends LoadedCandidate {
  readonly prediction: LatencyPrediction;
}

function score(
  { candidate: { entry, isGroupComplete }, load, prediction }: PredictedCandidate,
  zone: AvailabilityZoneId,
  random: RandomSource,
): number {
  return prediction.firstEventMilliseconds + load * LOAD_MILLISECONDS
    + random.next() * RANDOM_SPREAD_MILLISECONDS
    - (entry.worker.zone === zone ? OWN_ZONE_BONUS_MILLISECONDS : 0)
    + (isGroupComplete ? 0 : NOT_WHOLE_HANDICAP_MILLISECONDS);
}

/**
 * Two targets of the own zone and one of all by chance, as far as there are so many: loads are some
 * hundred ms old, and entries must not all choose alike.
 */
function sample(
  items: readonly PredictedCandidate[],
  zone: AvailabilityZoneId,
  random: RandomSource,
): readonly PredictedCandidate[] {
  const draw = (from: readonly PredictedCandidate[]): readonly PredictedCandidate[] => {
    const item = from[Math.floor(random.next() * from.length)];
    return item === undefined ? [] : [item];
  };
  const near = items.filter(({ candidate }) => candidate.entry.worker.zone === zone);
  const first = draw(near.length > 0 ? near : items);
  const second = draw(near.filter((item) => !first.includes(item)));
  const drawn = [...first, ...second];
  return [...drawn, ...draw(items.filter((item) => !drawn.includes(item)))];
}

/**
 * Whether a late stream takes one of the places that no stream on time is likely to need. All
 * entries see the same free places at once: each takes its share of them, by chance.
 */
function takesSparePlace(
  { candidate: { slots }, load }: PredictedCandidate,
  entries: number,
  random: RandomSource,
): boolean {
  if (load + 1 <= slots * ROOMY_SHARE) {
    return true;
  }
  const spare = slots * (1 - RESERVED_SHARE) - load;
  return spare >= 1 && random.next() * entries * TRIES_BETWEEN_LOADS < spare;
}

/** The first of two lists that has items. */
function firstOf<Item>(preferred: readonly Item[], others: readonly Item[]): readonly Item[] {
  return preferred.length > 0 ? preferred : others;
}

/**
 * The target at which a stream is likely to begin first.
 *
 * A stream that has begun goes on wherever there is room. One that can be on time goes where it is.
 * One that cannot takes only places that no stream on time is likely to need: it would make
 * others late and gain nothing by its haste.
 */
export default function chooseStreamTarget(
  loaded: readonly LoadedCandidate[],
  requirements: StreamRequirements,
  {
    zone, entries, random,
  }: { readonly zone: AvailabilityZoneId; readonly entries: number; readonly random: RandomSource },
): Choice {
  const predicted = loaded
    .filter(({ candidate, load }) => load < candidate.slots + QUEUE_ALLOWANCE)
    .map((item) => ({ ...item, prediction: predictLatency(item, requirements) }));
  const calm = predicted.filter(({ load, prediction }) => (
    load < 1
    || prediction.pauseMilliseconds <= (requirements.pauseAimMilliseconds ?? Number.POSITIVE_INFINITY)
  ));
  const usable = requirements.firstEventBudgetMilliseconds === Number.POSITIVE_INFINITY
    ? firstOf(calm, predicted)
    : firstOf(
      calm.filter(({ prediction }) => (
        prediction.firstEventMilliseconds <= requirements.firstEventBudgetMilliseconds
      )),
      calm.filter((item) => takesSparePlace(item, entries, random)),
    );
  const [first, ...rest] = sample(usable, zone, random)
    .map((item) => ({ ...item, score: score(item, zone, random) }));
  if (first === undefined) {
    return { kind: 'none', reason: 'all-full' };
  }
  const { candidate, load, prediction } = rest
    .reduce((least, item) => (item.score < least.score ? item : least), first);
  return {
    kind: 'chosen', candidate, load, prediction, candidates: usable.length,
  };
}
