import { SeededRandom } from '@dandelionlane/core';
import FakeFleet from '../test/FakeFleet.js';
import Churn from './Churn.js';
import countMissingReplicas from './countMissingReplicas.js';
import createServices from './createServices.js';
import simulate from './simulate.js';
import type ExperimentRow from './ExperimentRow.js';
import FLEETS from './FLEETS.js';
import type Planner from './Planner.js';
import PLANNERS from './PLANNERS.js';

const SETTLE_SECONDS = 3_600;
const SECONDS_PER_DAY = 86_400;
const STEP_SECONDS = 2;
const SEEDS = [7, 8, 9];
/** The fleet has capacity for 198 groups; the remaining free VMs are a few in each domain. */
const REPLICAS = 186;

function measureDay(name: string, planner: Planner, seed: number): ExperimentRow {
  const fleet = new FakeFleet(FLEETS[1089], createServices(REPLICAS));
  const churn = new Churn(new SeededRandom(seed));
  simulate(fleet, planner, SETTLE_SECONDS, STEP_SECONDS);
  const counts = { place: 0, rebuild: 0, spread: 0 };
  let down = 0;
  simulate(fleet, planner, SECONDS_PER_DAY, STEP_SECONDS, (commands) => {
    churn.step(fleet, STEP_SECONDS);
    down += countMissingReplicas(fleet) * STEP_SECONDS;
    for (const { kind, reason } of commands) {
      if (kind === 'place' || kind === 'rebuild') counts[kind] += 1;
      if (reason === 'spread') counts.spread += 1;
    }
  });
  return {
    planner: name,
    seed,
    replicas: REPLICAS,
    failures: churn.failures,
    restarts: churn.restarts,
    'replica-seconds down': down,
    'down share': down / (REPLICAS * SECONDS_PER_DAY),
    placed: counts.place,
    rebuilt: counts.rebuild,
    'moved for spread': counts.spread,
  };
}

/** Simulates days with VM failures and restarts in a region of 1,089 VMs, one per seed. */
export default function measureChurn(): ExperimentRow[] {
  return SEEDS.flatMap((seed) => PLANNERS.map(({ name, plan }) => measureDay(name, plan, seed)));
}
