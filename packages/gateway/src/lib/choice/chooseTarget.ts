import type { AvailabilityZoneId, RandomSource } from '@dandelionlane/core';
import type Candidate from './Candidate.js';
import type ModelTraffic from './ModelTraffic.js';
import type Choice from './Choice.js';
import type StreamRequirements from './StreamRequirements.js';
import choosePlainTarget from './choosePlainTarget.js';
import chooseStreamTarget from './chooseStreamTarget.js';
import holdsBackUnconfirmed from './holdsBackUnconfirmed.js';
import rampLimit from './rampLimit.js';

/** Input of `chooseTarget`. */
interface ChoiceInput {
  readonly candidates: readonly Candidate[];
  readonly zone: AvailabilityZoneId;
  /** Number of live entries, including this one. */
  readonly entries: number;
  readonly now: number;
  readonly random: RandomSource;
  /** Requests per second that a target in cold start can sustain. */
  readonly coldRequestsPerSecond: number;
  /** Time for which the loads of the other entries have not been known, in ms; 0 while they are known. */
  readonly unsharedMilliseconds: number;
  /** Traffic of the model at this entry and at all entries. */
  readonly traffic: { readonly own: ModelTraffic; readonly all: ModelTraffic };
  /**
   * Entries that share the slots of plain targets for this request: those that have paths to the targets, for
   * a request that one without paths has passed on, as its others go to all of these; 1 for one of a caller.
   */
  readonly sharingEntries: number;
  /** Requirements of the stream; null for a request to a plain target. */
  readonly requirements: StreamRequirements | null;
}

function isAtColdStartLimit(candidate: Candidate, input: ChoiceInput): boolean {
  const { coldRequestsPerSecond: requestsPerSecond, entries } = input;
  const { coldUntil } = candidate.entry;
  return !candidate.state.coldStart
    .admits({ coldUntil, requestsPerSecond, entries }, input.now, input.random);
}

function countAvoided(
  candidates: readonly Candidate[],
): Extract<Choice, { reason: 'all-suspected' }>['avoided'] {
  return {
    unreachable: candidates.filter(({ state }) => state.isUnreachable).length,
    absent: candidates.filter(({ state, formation, entry: { worker: { bornAt } } }) => (
      state.isAbsent({ bornAt, formation })
    )).length,
    suspected: candidates.filter(({ state, formation }) => state.isSuspected(formation)).length,
  };
}

/**
 * Whether the requests of this entry alone take all its slots of a plain target, or as many as that answers
 * without delay: it would refuse one more, or queue it. A target without a registration names no slots.
 */
function isFilledByOwn(candidate: Candidate, holdsBack: boolean, sharingEntries: number): boolean {
  const { slots, state: { outstanding, answerLimit } } = candidate;
  const share = Math.max(1, Math.floor(slots / sharingEntries));
  const limit = Math.min(share, answerLimit.of(slots), rampLimit(candidate, holdsBack));
  return slots > 0 && outstanding + 1 > limit;
}

/** Chooses among reachable targets that are not held off, absent, suspected or at a limit. */
export default function chooseTarget(input: ChoiceInput): Choice {
  if (input.candidates.length === 0) {
    return { kind: 'none', reason: 'no-target' };
  }
  const heldOff = input.candidates
    .map(({ state, entry: { worker } }) => state.heldOffMilliseconds(worker.bornAt));
  const retryAfterMilliseconds = Math.min(...heldOff);
  if (retryAfterMilliseconds > 0) {
    return { kind: 'none', reason: 'all-held-off', retryAfterMilliseconds };
  }
  const reachable = input.candidates
    .filter(({ state, formation, entry: { worker: { bornAt } } }, index) => heldOff[index] === 0
      && !state.isUnreachable && !state.isAbsent({ bornAt, formation }) && !state.isSuspected(formation));
  if (reachable.length === 0) {
    return { kind: 'none', reason: 'all-suspected', avoided: countAvoided(input.candidates) };
  }
  const warm = reachable.filter((candidate) => !isAtColdStartLimit(candidate, input));
  if (warm.length === 0) {
    return { kind: 'none', reason: 'all-cold' };
  }
  const { requirements, zone, random } = input;
  const waits = warm.map(({ state, entry: { worker } }) => (
    state.limit.waitMilliseconds(worker.bornAt, input.entries, random)
  ));
  const admitting = warm.filter((_candidate, index) => (waits[index] ?? 0) <= 0);
  if (admitting.length === 0) {
    return { kind: 'none', reason: 'all-limited', retryAfterMilliseconds: Math.min(...waits) };
  }
  const holdsBack = requirements === null && holdsBackUnconfirmed(admitting);
  const open = requirements === null
    ? admitting.filter((candidate) => !isFilledByOwn(candidate, holdsBack, input.sharingEntries)) : admitting;
  if (open.length === 0) {
    return { kind: 'none', reason: 'all-full' };
  }
  const service = open[0]?.entry.worker.service ?? '';
  const kind = requirements === null ? undefined : `${service}/${requirements.model ?? ''}`;
  open.forEach(({
    state, formation, slots, entry: { worker },
  }) => state.setInstance(worker.bornAt, formation, slots, kind));
  const isShared = requirements !== null && input.unsharedMilliseconds === 0;
  // A target without a shared load has no requests of others while loads are shared.
  const meanOf = (count: (candidate: Candidate) => number) => (
    isShared ? 0 : admitting.reduce((sum, candidate) => sum + count(candidate), 0) / admitting.length
  );
  const meanOutstanding = meanOf(({ state }) => state.outstanding);
  const othersUnreadTokens = meanOf(({ state }) => state.unreadTokens) * (input.entries - 1);
  const loaded = open.map((candidate) => ({
    candidate,
    load: candidate.state.estimateLoad(input.entries, meanOutstanding),
    unreadTokens: candidate.state.estimateUnreadTokens(othersUnreadTokens),
  }));
  return requirements === null
    ? choosePlainTarget(loaded, zone, random)
    : chooseStreamTarget(loaded, requirements, input);
}
