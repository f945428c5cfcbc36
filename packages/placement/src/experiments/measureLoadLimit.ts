import { DEFAULT_PLACEMENT_LIMITS, planPlacement } from '../index.js';
import FakeFleet from '../test/FakeFleet.js';
import countMissingReplicas from './countMissingReplicas.js';
import createServices from './createServices.js';
import simulate from './simulate.js';
import type ExperimentRow from './ExperimentRow.js';
import FLEETS from './FLEETS.js';

const LIMITS = [8, 16, 32, 64, 128, 1_024];
const REPLICAS = 186;
const OBSERVATION_SECONDS = 3_600;

function measureLimit(concurrentLoads: number): ExperimentRow {
  const limits = { ...DEFAULT_PLACEMENT_LIMITS, concurrentLoads };
  const fleet = new FakeFleet(FLEETS[1089], createServices(REPLICAS));
  let down = 0;
  let allUpSeconds = OBSERVATION_SECONDS;
  simulate(fleet, (input) => planPlacement(input, limits), OBSERVATION_SECONDS, 1, () => {
    const missing = countMissingReplicas(fleet);
    down += missing;
    if (missing === 0) allUpSeconds = Math.min(allUpSeconds, fleet.now / 1_000);
  });
  return {
    'concurrent loads': concurrentLoads, 'replica-seconds down': down, 'seconds until all serve': allUpSeconds,
  };
}

/** Starts an empty region of 1,089 VMs whose weight store sustains 32 loads at full speed. */
export default function measureLoadLimit(): ExperimentRow[] {
  return LIMITS.map(measureLimit);
}
