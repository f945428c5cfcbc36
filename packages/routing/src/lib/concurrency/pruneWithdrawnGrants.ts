import type GrantPlanInput from './GrantPlanInput.js';
import possiblyInUse from './possiblyInUse.js';
import type WithdrawnGrant from './WithdrawnGrant.js';

/**
 * Reduces each withdrawn share to the part that may still be in use and drops those that
 * are unused. The planner replaces its list by the result, so that no share grows again.
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
