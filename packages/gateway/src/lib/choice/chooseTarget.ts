import type { AvailabilityZoneId, RandomSource } from '@dandelionlane/core';
import type Candidate from './Candidate.js';
import type Choice from './Choice.js';

/** Requests beyond its places that a model target may be given: a place is free every 50 ms or so. */
const QUEUE_ALLOWANCE = 4;

/** Advantage of a target in the own zone, in requests: bytes between zones are priced. */
const OWN_ZONE_BONUS = 2;

/** Handicap of a group of which not all workers are registered, in requests. */
const NOT_WHOLE_HANDICAP = 6;

/** Spread of the random part, in requests: keeps entries from choosing alike. */
const RANDOM_SPREAD = 0.8;

/** Factor on the load of a plain target that fails all its requests. */
const FAILURE_FACTOR = 12;

/** What `chooseTarget` decides with. */
interface ChoiceInput {
  readonly candidates: readonly Candidate[];
  readonly zone: AvailabilityZoneId;
  /** Live entries, this one included. */
  readonly entries: number;
  readonly now: number;
  readonly random: RandomSource;
  /** Requests that a target in cold start bears a second. */
  readonly coldRequestsPerSecond: number;
  readonly isModel: boolean;
}

function isTooCold(candidate: Candidate, input: ChoiceInput): boolean {
  const isCold = candidate.entry.coldUntil > input.now && input.coldRequestsPerSecond > 0;
  const share = Math.max(1, Math.floor(input.coldRequestsPerSecond / input.entries));
  return isCold && candidate.state.sentLastSecond >= share;
}

function score(candidate: Candidate, load: number, input: ChoiceInput): number {
  const { state, entry, whole } = candidate;
  const zone = entry.worker.zone === input.zone ? OWN_ZONE_BONUS : 0;
  const noise = input.random.next() * RANDOM_SPREAD;
  if (input.isModel) {
    return load - zone + noise + (whole ? 0 : NOT_WHOLE_HANDICAP);
  }
  const slowness = Math.max(1, state.latencyMilliseconds);
  return (load + 1 + noise) * (1 + FAILURE_FACTOR * state.failureRate ** 2) * slowness - zone;
}

/**
 * Two of the targets by chance, one of them in the own zone where there is one: loads are some
 * hundred ms old, and entries must not all choose alike.
 */
function sample<Item extends { readonly candidate: Candidate }>(
  items: readonly Item[],
  { zone, random }: ChoiceInput,
): readonly Item[] {
  const draw = (from: readonly Item[]): readonly Item[] => {
    const item = from[Math.floor(random.next() * from.length)];
    return item === undefined ? [] : [item];
  };
  const near = draw(items.filter(({ candidate }) => candidate.entry.worker.zone === zone));
  const first = near.length > 0 ? near : draw(items);
  return [...first, ...draw(items.filter((item) => !first.includes(item)))];
}

/** The target with the least load among those that are whole, reachable, warm enough and not full. */
export default function chooseTarget(input: ChoiceInput): Choice {
  if (input.candidates.length === 0) {
    return { kind: 'none', reason: 'no-target' };
  }
  const reachable = input.candidates
    .filter(({ state, formation }) => !state.isUnreachable && !state.isSuspected(formation));
  if (reachable.length === 0) {
    return { kind: 'none', reason: 'all-suspected' };
  }
  const warm = reachable.filter((candidate) => !isTooCold(candidate, input));
  if (warm.length === 0) {
    return { kind: 'none', reason: 'all-cold' };
  }
  const scored = warm
    .map((candidate) => ({ candidate, load: candidate.state.estimateLoad(input.entries) }))
    .filter(({ candidate, load }) => !input.isModel || load < candidate.slots + QUEUE_ALLOWANCE)
    .map((item) => ({ ...item, score: score(item.candidate, item.load, input) }));
  const [first, ...rest] = scored;
  if (first === undefined) {
    return { kind: 'none', reason: 'all-full' };
  }
  const pool = input.isModel ? sample([first, ...rest], input) : [first, ...rest];
  const best = pool.reduce((least, item) => (item.score < least.score ? item : least));
  return {
    kind: 'chosen', candidate: best.candidate, load: best.load, candidates: scored.length,
  };
}
