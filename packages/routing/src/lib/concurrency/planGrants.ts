import { hashText, type EntryId, type Grant } from '@dandelionlane/core';
import type GrantPlanInput from './GrantPlanInput.js';
import planShares from './planShares.js';
import pruneWithdrawnGrants from './pruneWithdrawnGrants.js';
import splitEvenly from './splitEvenly.js';

/** Orders the homes differently for each replica, so that remainders spread over the entries. */
function orderHomes({ replica, homes }: GrantPlanInput): readonly EntryId[] {
  return [...homes].sort((left, right) => hashText(`${replica}/${left}`) - hashText(`${replica}/${right}`)
    || (left < right ? -1 : 1));
}

/** Lists every entry that holds or is to hold a share, the homes first. */
function listHolders(input: GrantPlanInput, homes: readonly EntryId[]): readonly EntryId[] {
  return [...new Set([...homes, ...input.previous.map(({ entry }) => entry)])];
}

/** Plans the shares of one kind of limit, in the order of the holders. */
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
 * Plans how the homes of a replica, the entries that send requests to it, share its
 * cold and warm limits.
 *
 * Invariant: for each limit, the returned grants plus the shares that former holders may
 * still be using never exceed the limit, regardless of which entries have read the plan.
 * A smaller share takes effect when its holder reads it; a share grows only by what is
 * known to be unused. A change of homes therefore takes at least two writes: the first
 * withdraws shares, a later one grants them again.
 *
 * A cold limit below the number of homes leaves some homes with a cold share of 0.
 * Such a home forwards requests for a cold replica to a home with a cold share.
 * An entry that is no home and has no share left is omitted from the result.
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
