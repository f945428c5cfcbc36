import type GrantPlanInput from './GrantPlanInput.js';
import possiblyInUse from './possiblyInUse.js';
import type WithdrawnGrant from './WithdrawnGrant.js';

/**
 * The shares taken back that may still be in use, reduced to the part that may. A
 * planner keeps the result in place of its list: what has been settled stays so.
 */
export default function pruneWithdrawnGrants(input: GrantPlanInput): readonly WithdrawnGrant[] {
  return input.withdrawn
    .map((withdrawn) => ({
      ...withdrawn,
      cold: possiblyInUse(withdrawn, input, 'cold'),
      warm: possiblyInUse(withdrawn, input, 'warm'),
    }))
    .filter(({ cold, warm }) => cold > 0 || warm > 0);
}
