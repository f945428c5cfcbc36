import type { AvailabilityZoneId, RandomSource } from '@dandelionlane/core';
import type Choice from './Choice.js';
import type LoadedCandidate from './LoadedCandidate.js';
import type LatencyPrediction from './LatencyPrediction.js';
import type StreamChoiceContext from './StreamChoiceContext.js';
import type StreamRequirements from './StreamRequirements.js';
import admitLateStream from './admitLateStream.js';
import drawProbe from './drawProbe.js';
import drawSlot from './drawSlot.js';
import holdsBackUnconfirmed from './holdsBackUnconfirmed.js';
import limitLoad from './limitLoad.js';
import rampLimit from './rampLimit.js';
import predictLatency from './predictLatency.js';
import yieldToUrgent from './yieldToUrgent.js';

/** Requests beyond its slots that a target may be given: load reports lag by some hundred ms. */
const QUEUE_ALLOWANCE = 4;

/** Share of the slots that is reserved for streams that can still be on time. */
const RESERVED_SHARE = 1 / 3;

/** Penalty for each request of load, in ms: it leaves less capacity for later requests. */
const LOAD_PENALTY_MILLISECONDS = 6;

/** Advantage of a target in this entry's zone, in ms: traffic between zones is charged. */
const SAME_ZONE_BONUS_MILLISECONDS = 30;

/** Penalty for a group of which not all workers are registered, in ms. */
const INCOMPLETE_GROUP_PENALTY_MILLISECONDS = 36;

/** Random addition to the score, in ms: keeps entries from herding onto the same target. */
const JITTER_MILLISECONDS = 5;

/** A candidate with the predicted latency of the stream there. */
interface PredictedCandidate extends LoadedCandidate {
  readonly prediction: LatencyPrediction;
  /** Requests in flight that the target takes well, of all entries. */
  readonly limit: number;
}

/** Slowdown of a target for one more stream, against its configuration. */
function slowdownOf({ candidate: { state, slots }, load }: LoadedCandidate): number {
  return state.slowdownAt(Math.min(load + 1, slots), slots);
}

/**
 * Predicts the latency at each target and how many requests it takes well. Slowdowns are relative to the
 * least one: where all targets are slow, none is avoided.
 */
function predictAll(
  loaded: readonly LoadedCandidate[],
  requirements: StreamRequirements,
): readonly PredictedCandidate[] {
  const slowdowns = loaded.map(slowdownOf);
  const base = Math.min(...slowdowns);
  const holdsBack = holdsBackUnconfirmed(loaded.map(({ candidate }) => candidate));
  return loaded.map((item, index) => ({
    ...item,
    prediction: predictLatency(item, requirements, (slowdowns[index] ?? base) / base),
    limit: Math.min(limitLoad(item, requirements, base), rampLimit(item.candidate, holdsBack)),
  }));
}

/**
 * Whether a target takes another stream well. While the loads of the other entries are not known, this one
 * keeps to its share of a limit that is below the slots.
 */
function isWithinLimit(
  { candidate: { state, slots }, load, limit }: PredictedCandidate,
  { entries, unsharedMilliseconds }: StreamChoiceContext,
): boolean {
  if (limit >= slots) {
    return true;
  }
  return entries === 1 || unsharedMilliseconds === 0
    ? load + 1 <= limit : state.outstanding + 1 <= Math.max(1, limit / entries);
}

/** Whether only a stream now and then may find out whether a target is still slow. */
function needsProbe({ candidate: { state } }: LoadedCandidate): boolean {
  return state.speed.needsProbe;
}

/** Whether a stream would pause those of a target no longer than they may be paused. */
function isWithinPauseLimit(
  { load, prediction: { pauseMilliseconds, slowdown } }: PredictedCandidate,
  { targetGapMilliseconds }: StreamRequirements,
): boolean {
  const limit = targetGapMilliseconds ?? Number.POSITIVE_INFINITY;
  // A prompt that is too large for any target runs on an idle one.
  return pauseMilliseconds <= limit || (load < 1 && (slowdown === 1 || pauseMilliseconds / slowdown > limit));
}

function score(
  { candidate: { entry, isGroupComplete }, load, prediction }: PredictedCandidate,
  zone: AvailabilityZoneId,
  random: RandomSource,
): number {
  return prediction.firstEventMilliseconds + load * LOAD_PENALTY_MILLISECONDS
    + random.next() * JITTER_MILLISECONDS
    - (entry.worker.zone === zone ? SAME_ZONE_BONUS_MILLISECONDS : 0)
    + (isGroupComplete ? 0 : INCOMPLETE_GROUP_PENALTY_MILLISECONDS);
}

/**
 * Samples two targets of this entry's zone and one of all, as far as there are so many. Load reports
 * lag by some hundred ms; random sampling keeps entries from herding onto the same target.
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
  const sameZone = items.filter(({ candidate }) => candidate.entry.worker.zone === zone);
  const first = draw(sameZone.length > 0 ? sameZone : items);
  const second = draw(sameZone.filter((item) => !first.includes(item)));
  const drawn = [...first, ...second];
  return [...drawn, ...draw(items.filter((item) => !drawn.includes(item)))];
}

/** Slots that streams of one kind may still take at some targets. */
function countFreeSlots(targets: readonly PredictedCandidate[], share: number): number {
  return targets.reduce((sum, { candidate: { slots }, load, limit }) => (
    sum + Math.max(0, Math.min(slots * share, limit) - load)
  ), 0);
}

/** Returns the first of two lists that is not empty. */
function firstNonEmpty<Item>(preferred: readonly Item[], others: readonly Item[]): readonly Item[] {
  return preferred.length > 0 ? preferred : others;
}

/**
 * Chooses the target at which a stream is likely to start first.
 *
 * A stream that has started resumes at any target with capacity. One that can be on time goes to a
 * target where it is. One that cannot takes only slots that no stream on time is likely to need: it
 * would make others late and gain nothing.
 */
export default function chooseStreamTarget(
  loaded: readonly LoadedCandidate[],
  requirements: StreamRequirements,
  context: StreamChoiceContext,
): Choice {
  const { zone, random, traffic: { own, all } } = context;
  const predicted = predictAll(loaded, requirements)
    .filter(({ candidate, load }) => load < candidate.slots + QUEUE_ALLOWANCE);
  const withinPauseLimit = predicted.filter((item) => isWithinPauseLimit(item, requirements));
  const onTime = requirements.firstEventBudgetMilliseconds === Number.POSITIVE_INFINITY
    ? firstNonEmpty(withinPauseLimit, predicted)
    : withinPauseLimit.filter((item) => isWithinLimit(item, context) && !needsProbe(item)
      && item.prediction.firstEventMilliseconds <= requirements.firstEventBudgetMilliseconds);
  const spare = withinPauseLimit
    .filter(({ candidate: { slots }, load }) => load + 1 <= slots * (1 - RESERVED_SHARE));
  const canTake = onTime.length > 0
    ? drawSlot({
      ...yieldToUrgent({
        free: countFreeSlots(onTime, 1), priority: requirements.priority, own, all,
      }),
      random,
    })
    : admitLateStream({
      targets: loaded,
      spareSlots: countFreeSlots(spare, 1 - RESERVED_SHARE),
      streamMilliseconds: requirements.timing.streamMilliseconds,
      context,
    });
  const { arrivalsPerSecond } = context.unsharedMilliseconds > 0 ? own : all;
  const probe = canTake ? drawProbe({
    targets: predicted.filter((item) => item.load < 1 && needsProbe(item)), arrivalsPerSecond, random,
  }) : null;
  const others = canTake ? firstNonEmpty(onTime, spare) : [];
  const eligible = probe === null ? others : [probe];
  const [first, ...rest] = sample(eligible, zone, random)
    .map((item) => ({ ...item, score: score(item, zone, random) }));
  if (first === undefined) {
    return { kind: 'none', reason: 'all-full' };
  }
  const { candidate, load, prediction } = rest
    .reduce((least, item) => (item.score < least.score ? item : least), first);
  return {
    kind: 'chosen', candidate, load, prediction, candidates: eligible.length,
  };
}
