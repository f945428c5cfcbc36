import type { Grant, ServiceLimits } from '@dandelionlane/core';
import type WithdrawnGrant from './WithdrawnGrant.js';

/**
 * What a planner that has no list of shares taken back must assume: all that the
 * grants leave of the limits was taken back just now, from a holder not known.
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
