import { hashText, type EntryId, type Grant } from '@dandelionlane/core';
import type GrantPlanInput from './GrantPlanInput.js';
import planShares from './planShares.js';
import pruneWithdrawnGrants from './pruneWithdrawnGrants.js';
import splitEvenly from './splitEvenly.js';

/** The homes in an order of their own for each replica, so that remainders spread over entries. */
function orderHomes({ replica, homes }: GrantPlanInput): readonly EntryId[] {
  return [...homes].sort((left, right) => hashText(`${replica}/${left}`) - hashText(`${replica}/${right}`)
    || (left < right ? -1 : 1));
}

/** Every entry that is to have a share or has one, the homes first. */
function listHolders(input: GrantPlanInput, homes: readonly EntryId[]): readonly EntryId[] {
  return [...new Set([...homes, ...input.previous.map(({ entry }) => entry)])];
}

/** The planned shares of one kind of limit, in the order of the holders. */
function planKind(
  input: GrantPlanInput,
  holders: readonly EntryId[],
  homes: readonly EntryId[],
  kind: 'cold' | 'warm',
): readonly number[] {
  const limit = kind === 'cold' ? input.limits.coldConcurrency : input.limits.warmConcurrency;
  const wanted = splitEvenly(limit, homes.length);
  const shares = holders.map((entry, index) => ({
    previous: input.previous.find((grant) => grant.entry === entry)?.[kind] ?? 0,
    wanted: wanted[index] ?? 0,
  }));
  const inUse = pruneWithdrawnGrants(input).reduce((sum, withdrawn) => sum + withdrawn[kind], 0);
  return planShares(shares, limit, inUse);
}

/**
 * Plans how the homes of a replica share its cold and warm limits.
 *
 * Invariant: for each limit, the grants returned and whatever former holders may
 * still be using add up to at most the limit, whatever part of the plan
 * the entries have read. A smaller share takes effect when its holder reads it; a
 * share grows only by what is known to be unused. So a change of homes takes two
 * writes or more: the first takes shares back, a later one hands them out.
 *
 * A cold limit below the number of homes leaves some homes with a cold share of 0.
 * Such a home passes a request for a cold replica on to a home that has one.
 * An entry with nothing left is dropped from the result.
 */
export default function planGrants(input: GrantPlanInput): readonly Grant[] {
  const homes = orderHomes(input);
  const holders = listHolders(input, homes);
  const cold = planKind(input, holders, homes, 'cold');
  const warm = planKind(input, holders, homes, 'warm');
  return holders
    .map((entry, index) => ({ entry, cold: cold[index] ?? 0, warm: warm[index] ?? 0 }))
    .filter((grant) => grant.cold > 0 || grant.warm > 0 || homes.includes(grant.entry));
}
