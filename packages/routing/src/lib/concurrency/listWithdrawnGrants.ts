import type { Grant } from '@dandelionlane/core';
import type WithdrawnGrant from './WithdrawnGrant.js';

/** Lists the shares that a new plan withdraws, to be kept until their holders no longer use them. */
export default function listWithdrawnGrants(
  previous: readonly Grant[],
  planned: readonly Grant[],
  withdrawnAtMilliseconds: number,
): readonly WithdrawnGrant[] {
  return previous
    .map((grant): WithdrawnGrant => {
      const next = planned.find(({ entry }) => entry === grant.entry);
      return {
        entry: grant.entry,
        cold: Math.max(0, grant.cold - (next?.cold ?? 0)),
        warm: Math.max(0, grant.warm - (next?.warm ?? 0)),
        withdrawnAtMilliseconds,
        holder: { kind: 'unknown' },
      };
    })
    .filter(({ cold, warm }) => cold > 0 || warm > 0);
}
