import { DEFAULT_PLACEMENT_LIMITS, planPlacement } from '../index.js';
import FakeFleet from '../test/FakeFleet.js';
import countMissingReplicas from './countMissingReplicas.js';
import createServices from './createServices.js';
import simulate from './simulate.js';
import type ExperimentRow from './ExperimentRow.js';
import FLEETS from './FLEETS.js';

const LIMITS = [8, 16, 32, 64, 128, 1_024];
const REPLICAS = 186;
const WATCH_SECONDS = 3_600;

function measureLimit(concurrentLoads: number): ExperimentRow {
  const limits = { ...DEFAULT_PLACEMENT_LIMITS, concurrentLoads };
  const fleet = new FakeFleet(FLEETS[1089], createServices(REPLICAS));
  let down = 0;
  let allUp = WATCH_SECONDS;
  simulate(fleet, (input) => planPlacement(input, limits), WATCH_SECONDS, 1, () => {
    const missing = countMissingReplicas(fleet);
    down += missing;
    if (missing === 0) allUp = Math.min(allUp, fleet.now / 1_000);
  });
  return {
    'concurrent loads': concurrentLoads, 'replica-seconds down': down, 'seconds until all serve': allUp,
  };
}

/** A region of 1,089 VMs starts empty; its weight store bears 32 loads at full speed. */
export default function measureLoadLimit(): ExperimentRow[] {
  return LIMITS.map(measureLimit);
}
