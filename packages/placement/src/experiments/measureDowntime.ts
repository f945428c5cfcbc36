import { SeededRandom } from '@dandelionlane/core';
import FakeFleet from '../test/FakeFleet.js';
import type FakeVM from '../test/FakeVM.js';
import countMissingReplicas from './countMissingReplicas.js';
import createServices from './createServices.js';
import simulate from './simulate.js';
import type ExperimentRow from './ExperimentRow.js';
import FLEETS from './FLEETS.js';
import type Planner from './Planner.js';
import PLANNERS from './PLANNERS.js';

const SETTLE_SECONDS = 900;
const OBSERVATION_SECONDS = 2_400;
const REPAIR_MILLISECONDS = 1_800_000;
const DOMAIN_REPAIR_MILLISECONDS = 600_000;
const SAMPLES = 5;

/** Wanted replicas; the fleet has capacity for 12. */
const REPLICAS = [9, 12] as const;

function createSettled(planner: Planner, replicas: number): FakeFleet {
  const fleet = new FakeFleet(FLEETS[66], createServices(replicas));
  simulate(fleet, planner, SETTLE_SECONDS);
  return fleet;
}

function measureDownSeconds(fleet: FakeFleet, planner: Planner): number {
  let downSeconds = 0;
  simulate(fleet, planner, OBSERVATION_SECONDS, 1, () => {
    downSeconds += countMissingReplicas(fleet);
  });
  return downSeconds;
}

function pickServingMember(fleet: FakeFleet, random: SeededRandom): FakeVM {
  const serving = [...fleet.rows.replicas.values()].filter(({ replica }) => replica.state === 'serving');
  const row = serving[Math.floor(random.next() * serving.length)];
  const member = row?.replica.members[Math.floor(random.next() * row.replica.members.length)];
  if (member === undefined) throw new Error('no replica is serving');
  return fleet.vm(member.vm);
}

function loseVM(fleet: FakeFleet, random: SeededRandom): void {
  pickServingMember(fleet, random).crash(fleet.now, REPAIR_MILLISECONDS);
}

function loseDomain(fleet: FakeFleet, random: SeededRandom): void {
  const { fabricDomain } = pickServingMember(fleet, random).record;
  for (const vm of fleet.vms.values()) {
    if (vm.record.fabricDomain === fabricDomain) vm.crash(fleet.now, DOMAIN_REPAIR_MILLISECONDS);
  }
}

function changeVersions(fleet: FakeFleet): void {
  fleet.changeRelease({
    services: fleet.release.services.map((service) => (
      { ...service, definition: { ...service.definition, version: 'two' } })),
  });
}

type Disruption = (fleet: FakeFleet, random: SeededRandom) => void;

const SCENARIOS = [
  { scenario: 'VM failure', disrupt: loseVM },
  { scenario: 'fabric domain loss', disrupt: loseDomain },
  { scenario: 'rolling replacement of all services', disrupt: changeVersions },
] as const;

function meanDowntime(planner: Planner, replicas: number, disrupt: Disruption): number {
  let total = 0;
  for (let sample = 0; sample < SAMPLES; sample += 1) {
    const fleet = createSettled(planner, replicas);
    disrupt(fleet, new SeededRandom(sample));
    total += measureDownSeconds(fleet, planner);
  }
  return total / SAMPLES;
}

/** Measures the replica-seconds of downtime per event, as a mean over seeded samples. */
export default function measureDowntime(): ExperimentRow[] {
  return REPLICAS.flatMap((replicas) => SCENARIOS.flatMap(({ scenario, disrupt }) => (
    PLANNERS.map(({ name, plan }) => ({
      scenario,
      replicas,
      planner: name,
      'replica-seconds down': meanDowntime(plan, replicas, disrupt),
    })))));
}
