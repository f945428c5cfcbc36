import type PlacementLimits from './PlacementLimits.js';

/** Default thresholds of the placement policy. */
const DEFAULT_PLACEMENT_LIMITS: PlacementLimits = {
  freshMilliseconds: 3_000,
  lostMilliseconds: 15_000,
  abandonMilliseconds: 30_000,
  unlistedMilliseconds: 30_000,
  drainNoticeMilliseconds: 5_000,
  lostDrainMilliseconds: 60_000,
  orderExpiryMilliseconds: 15_000,
  loadStartMilliseconds: 15_000,
  loadLimitMilliseconds: 3_600_000,
  warmUpMilliseconds: 60_000,
  settledMilliseconds: 300_000,
  concurrentLoads: 64,
  moveLoadShare: 0.25,
  surgeShare: 0.25,
  suspectObserverShare: 0.5,
};

export default DEFAULT_PLACEMENT_LIMITS;
