import { SeededRandom, type RandomSource } from '@dandelionlane/core';
import FakeFleet from '../test/FakeFleet.js';
import createServices from './createServices.js';
import simulate from './simulate.js';
import type ExperimentRow from './ExperimentRow.js';
import FLEETS from './FLEETS.js';
import type Planner from './Planner.js';
import PLANNERS from './PLANNERS.js';

const SETTLE_SECONDS = 3_600;
const OBSERVATION_SECONDS = 3_600;
const REPLICAS = 186;
const SEED = 11;
const SILENCES_PER_SECOND = 0.05;
const LIST_GAPS_PER_SECOND = 0.02;
const LONGEST_SILENCE_MILLISECONDS = 9_000;
const LONGEST_LIST_GAP_MILLISECONDS = 25_000;

function disturb(fleet: FakeFleet, random: RandomSource): void {
  const vms = [...fleet.vms.values()];
  const pick = () => vms[Math.floor(random.next() * vms.length)];
  if (random.next() < SILENCES_PER_SECOND) {
    const until = fleet.now + random.next() * LONGEST_SILENCE_MILLISECONDS;
    const vm = pick();
    if (vm !== undefined) vm.silentUntilMilliseconds = Math.max(vm.silentUntilMilliseconds, until);
  }
  if (random.next() < LIST_GAPS_PER_SECOND) {
    pick()?.unlist(fleet.now, random.next() * LONGEST_LIST_GAP_MILLISECONDS);
  }
}

function measureHour(name: string, planner: Planner): ExperimentRow {
  const fleet = new FakeFleet(FLEETS[1089], createServices(REPLICAS));
  const random = new SeededRandom(SEED);
  simulate(fleet, planner, SETTLE_SECONDS);
  let commands = 0;
  let moves = 0;
  simulate(fleet, planner, OBSERVATION_SECONDS, 1, (issued) => {
    disturb(fleet, random);
    commands += issued.length;
    moves += issued.filter(({ kind }) => kind === 'place' || kind === 'rebuild').length;
  });
  return {
    planner: name, hours: 1, 'commands caused': commands, 'replicas moved': moves,
  };
}

/** Simulates an hour of short report and VM list gaps that end by themselves, without any failure. */
export default function measureSteadiness(): ExperimentRow[] {
  return PLANNERS.map(({ name, plan }) => measureHour(name, plan));
}
