import { hashText } from '@dandelionlane/core';
import type RequestView from './RequestView.js';
import type ScoredTarget from './ScoredTarget.js';

/** How far above the mean a target's load may be for prefix affinity to choose it. */
const LOAD_BOUND = 1.25;

/** Requests like the present one that a target may be above the bound, so that affinity works at low load. */
const LOAD_SLACK_REQUESTS = 2;

/** Mixes the prefix's hash and the replica's, for rendezvous hashing. */
function rendezvousWeight(prefixHash: number, candidate: ScoredTarget): number {
  return hashText(`${prefixHash}/${candidate.target.replica}`);
}

/** The candidate of greatest weight. */
function pickGreatest(
  candidates: readonly ScoredTarget[],
  weigh: (candidate: ScoredTarget) => number,
): ScoredTarget | undefined {
  let greatest: ScoredTarget | undefined;
  let greatestWeight = -Infinity;
  for (const candidate of candidates) {
    const weight = weigh(candidate);
    if (weight > greatestWeight) {
      greatest = candidate;
      greatestWeight = weight;
    }
  }
  return greatest;
}

/** A target chosen for the prompt prefix that it holds or is to hold. */
interface PrefixPick {
  readonly candidate: ScoredTarget;
  readonly reason: 'prefix-cached' | 'prefix-assigned';
}

/**
 * Prefix affinity with bounded load. Among the candidates whose load is near the
 * mean, takes the one that is said to hold most of the prefix; without a hint, the
 * one that rendezvous hashing assigns to it, so that entries agree without talking.
 */
export default function pickForPrefix(
  request: RequestView,
  scored: readonly ScoredTarget[],
): PrefixPick | undefined {
  const { prefixHash } = request;
  if (prefixHash === null || scored.length === 0) {
    return undefined;
  }
  const mean = scored.reduce((sum, { tokens }) => sum + tokens, 0) / scored.length;
  const bound = LOAD_BOUND * mean + LOAD_SLACK_REQUESTS * request.estimatedTokens;
  const bounded = scored.filter(({ tokens }) => tokens <= bound);
  const holders = bounded.filter(({ target }) => target.cachedPrefixTokens > 0);
  const holder = pickGreatest(holders, ({ target, tokens }) => target.cachedPrefixTokens - tokens);
  if (holder !== undefined) {
    return { candidate: holder, reason: 'prefix-cached' };
  }
  const assigned = pickGreatest(bounded, (candidate) => rendezvousWeight(prefixHash, candidate));
  return assigned && { candidate: assigned, reason: 'prefix-assigned' };
}
