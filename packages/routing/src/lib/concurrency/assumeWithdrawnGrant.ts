import type { Grant, ServiceLimits } from '@dandelionlane/core';
import type WithdrawnGrant from './WithdrawnGrant.js';

/**
 * The withdrawn share that a planner without a list of them, after a takeover, must
 * assume: everything that the grants leave of the limits was withdrawn just now from an
 * unknown holder.
 */
export default function assumeWithdrawnGrant(
  limits: Pick<ServiceLimits, 'coldConcurrency' | 'warmConcurrency'>,
  grants: readonly Grant[],
  monotonicMilliseconds: number,
): WithdrawnGrant {
  const cold = grants.reduce((sum, grant) => sum + grant.cold, 0);
  const warm = grants.reduce((sum, grant) => sum + grant.warm, 0);
  return {
    entry: null,
    cold: Math.max(0, limits.coldConcurrency - cold),
    warm: Math.max(0, limits.warmConcurrency - warm),
    withdrawnAtMilliseconds: monotonicMilliseconds,
    holder: { kind: 'unknown' },
  };
}
