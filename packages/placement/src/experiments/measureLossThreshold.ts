import { SeededRandom, type RandomSource } from '@dandelionlane/core';
import { DEFAULT_PLACEMENT_LIMITS, planPlacement } from '../index.js';
import FakeFleet from '../test/FakeFleet.js';
import countMissingReplicas from './countMissingReplicas.js';
import createServices from './createServices.js';
import simulate from './simulate.js';
import type ExperimentRow from './ExperimentRow.js';
import FLEETS from './FLEETS.js';
import type Planner from './Planner.js';

const THRESHOLDS_MILLISECONDS = [3_000, 5_000, 10_000, 15_000, 30_000];
const REPLICAS = 9;
const SETTLE_SECONDS = 900;
const PAUSE_SECONDS = 7_200;
const FAILURE_SECONDS = 600;
const PAUSES_PER_SECOND = 0.01;
const MEAN_PAUSE_MILLISECONDS = 4_000;
const REPAIR_MILLISECONDS = 1_800_000;
const SEED = 5;

function pauseRandomVM(fleet: FakeFleet, random: RandomSource): void {
  if (random.next() >= PAUSES_PER_SECOND) return;
  const vms = [...fleet.vms.values()];
  const vm = vms[Math.floor(random.next() * vms.length)];
  const pause = -Math.log(1 - random.next()) * MEAN_PAUSE_MILLISECONDS;
  if (vm !== undefined) vm.silentUntilMilliseconds = fleet.now + pause;
}

function countUnnecessaryRebuilds(planner: Planner): number {
  const fleet = new FakeFleet(FLEETS[66], createServices(REPLICAS));
  const random = new SeededRandom(SEED);
  let rebuilds = 0;
  simulate(fleet, planner, SETTLE_SECONDS);
  simulate(fleet, planner, PAUSE_SECONDS, 1, (commands) => {
    pauseRandomVM(fleet, random);
    rebuilds += commands.filter(({ kind }) => kind === 'rebuild' || kind === 'place').length;
  });
  return rebuilds;
}

function measureFailure(planner: Planner): number {
  const fleet = new FakeFleet(FLEETS[66], createServices(REPLICAS));
  simulate(fleet, planner, SETTLE_SECONDS);
  const [row] = fleet.rows.replicas.values();
  const [member] = row?.replica.members ?? [];
  if (member !== undefined) fleet.vm(member.vm).crash(fleet.now, REPAIR_MILLISECONDS);
  let down = 0;
  simulate(fleet, planner, FAILURE_SECONDS, 1, () => {
    down += countMissingReplicas(fleet);
  });
  return down;
}

/** Compares downtime after a failure with unnecessary rebuilds after pauses, for growing loss thresholds. */
export default function measureLossThreshold(): ExperimentRow[] {
  return THRESHOLDS_MILLISECONDS.map((lostMilliseconds) => {
    const limits = { ...DEFAULT_PLACEMENT_LIMITS, lostMilliseconds };
    const planner: Planner = (input) => planPlacement(input, limits);
    return {
      'lost after, s': lostMilliseconds / 1_000,
      'replica-seconds down per failure': measureFailure(planner),
      'needless rebuilds in 2 h of pauses': countUnnecessaryRebuilds(planner),
    };
  });
}
