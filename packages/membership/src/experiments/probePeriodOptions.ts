import Membership from '../lib/membership/Membership.js';
import MembershipSettings from '../lib/membership/MembershipSettings.js';
import type CostScenario from './CostScenario.js';
import type FakeNetworkOptions from './FakeNetworkOptions.js';

/** Options that set the probe period of `membership`; empty if none is given. */
export default function probePeriodOptions(
  { variant, probePeriodMilliseconds }: Pick<CostScenario, 'variant' | 'probePeriodMilliseconds'>,
): Partial<FakeNetworkOptions> {
  if (variant === 'naive' || probePeriodMilliseconds === undefined) {
    return {};
  }
  const settings = MembershipSettings.parse({ probePeriodMilliseconds });
  return { createMembership: (self, random) => new Membership({ self, random, settings }) };
}
