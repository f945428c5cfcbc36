import { AvailabilityZoneId } from '@dandelionlane/core';
import { DEFAULT_PLACEMENT_LIMITS, planPlacement, type PlacementInput } from '../index.js';
import FakeFleet from '../test/FakeFleet.js';
import createServices from './createServices.js';
import simulate from './simulate.js';
import type ExperimentRow from './ExperimentRow.js';
import FLEETS from './FLEETS.js';
import type Planner from './Planner.js';

const SETTLE_SECONDS = 1_200;
const STEP_SECONDS = 2;
/** Time after which the zone has drained and the replacements that fit elsewhere are loading. */
const SHORTAGE_SECONDS = 120;
const WARM_UP_PLANS = 50;
const PLANS = 200;
const BYTES_PER_KILOBYTE = 1_024;
const PERCENT = 100;
const MILLISECONDS_PER_SECOND = 1_000;
const SIZES = [66, 330, 1_089, 3_993, 11_979] as const;

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

function timePlans(input: PlacementInput): number {
  const times: number[] = [];
  for (let plan = 0; plan < WARM_UP_PLANS + PLANS; plan += 1) {
    const start = performance.now();
    planPlacement(input);
    if (plan >= WARM_UP_PLANS) times.push(performance.now() - start);
  }
  return median(times);
}

/** Heap that one plan allocates, in KB. Valid only if the young generation is not collected meanwhile. */
function allocatedKilobytes(input: PlacementInput): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  planPlacement(input);
  return (process.memoryUsage().heapUsed - before) / BYTES_PER_KILOBYTE;
}

/** Does not limit concurrent loads, so that large fleets converge within a few plans. */
const planUnlimited: Planner = (input) => (
  planPlacement(input, { ...DEFAULT_PLACEMENT_LIMITS, concurrentLoads: Infinity }));

function createSettled(size: typeof SIZES[number]): FakeFleet {
  const replicas = Math.floor((size / 11) * 2 * 0.94);
  const fleet = new FakeFleet({ ...FLEETS[size], storeStreams: size }, createServices(replicas));
  simulate(fleet, planUnlimited, SETTLE_SECONDS, STEP_SECONDS);
  return fleet;
}

function measureSize(size: typeof SIZES[number]): ExperimentRow {
  const fleet = createSettled(size);
  const quiet = fleet.observe();
  const replicas = fleet.rows.replicas.size;
  const quietMilliseconds = timePlans(quiet);
  const kilobytes = allocatedKilobytes(quiet);
  fleet.changeRelease({ availabilityZonesOut: [AvailabilityZoneId.parse('zone-0')] });
  const moveMilliseconds = timePlans(fleet.observe());
  simulate(fleet, planUnlimited, SHORTAGE_SECONDS, STEP_SECONDS);
  const shortMilliseconds = timePlans(fleet.observe());
  return {
    VMs: fleet.vms.size,
    replicas,
    'quiet plan, ms': quietMilliseconds,
    'quiet plan, % of a core at 1/s': (quietMilliseconds / MILLISECONDS_PER_SECOND) * PERCENT,
    'zone-out plan, ms': moveMilliseconds,
    'short of room, ms': shortMilliseconds,
    'allocated, KB': kilobytes,
    'us per VM': (quietMilliseconds * MILLISECONDS_PER_SECOND) / fleet.vms.size,
  };
}

/** Measures the time and memory of one plan for growing fleet sizes. */
export default function measureCost(): ExperimentRow[] {
  return SIZES.map(measureSize);
}
