import { hashText } from '@dandelionlane/core';
import type RequestView from './RequestView.js';
import type ScoredTarget from './ScoredTarget.js';

/** Ratio to the mean load up to which prefix affinity may choose a target. */
const LOAD_BOUND = 1.25;

/** Requests of the current size added to the bound, so that affinity also applies at low load. */
const LOAD_SLACK_REQUESTS = 2;

/** Rendezvous hashing weight of a candidate for a prefix. */
function rendezvousWeight(prefixHash: number, candidate: ScoredTarget): number {
  return hashText(`${prefixHash}/${candidate.target.replica}`);
}

/** Picks the candidate with the greatest weight. */
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

/** A target chosen because it has cached the prompt prefix or is assigned to it. */
interface PrefixPick {
  readonly candidate: ScoredTarget;
  readonly reason: 'prefix-cached' | 'prefix-assigned';
}

/**
 * Picks a target by prefix affinity with bounded load. Among the candidates within the
 * load bound, picks the one with the most cached tokens of the prefix minus its load. If
 * none is known to have cached any, rendezvous hashing assigns one, so that all entries
 * agree without coordination.
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
