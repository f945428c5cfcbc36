import type { LeaseSettings } from '@dandelionlane/platform';

/**
 * Lease on the group control. The term spans three renewals, so that two slow answers of the
 * store lose nothing.
 */
const LEASE_SETTINGS: LeaseSettings = {
  termMilliseconds: 1_600,
  safetyMarginMilliseconds: 250,
  canReclaimOwnLease: true,
};

export default LEASE_SETTINGS;
