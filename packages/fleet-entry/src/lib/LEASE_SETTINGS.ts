import type { LeaseSettings } from '@dandelionlane/platform';

/**
 * Settings of the lease on the group control. The term spans three renewals, so that two slow answers
 * of the store do not lose the lease.
 */
const LEASE_SETTINGS: LeaseSettings = {
  termMilliseconds: 1_600,
  safetyMarginMilliseconds: 250,
  canReclaimOwnLease: true,
};

export default LEASE_SETTINGS;
