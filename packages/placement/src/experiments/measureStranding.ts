import { SeededRandom, type RandomSource, type ReleaseState } from '@dandelionlane/core';
import createRelease from '../test/createRelease.js';
import FakeFleet from '../test/FakeFleet.js';
import simulate from './simulate.js';
import type ExperimentRow from './ExperimentRow.js';
import FLEETS from './FLEETS.js';
import type Planner from './Planner.js';
import PLANNERS from './PLANNERS.js';

const GROUP_SIZES = [1, 2, 4, 8] as const;
const SETTLE_SECONDS = 3_600;
const CHANGES = 300;
const SECONDS_BETWEEN_CHANGES = 120;
const STEP_SECONDS = 2;
const SEEDS = [1, 2, 3, 4, 5];
const FLEET = { ...FLEETS[330], vmsPerDomain: 16, storeStreams: 330 };
const FLEET_VMS = FLEET.zones * FLEET.domainsPerZone * FLEET.vmsPerDomain;

/** A group that is wanted once, and its number of VMs. */
interface Group {
  readonly name: string;
  readonly vms: number;
}

function createGroup(index: number, random: RandomSource): Group {
  const vms = GROUP_SIZES[Math.floor(random.next() * GROUP_SIZES.length)] ?? 1;
  return { name: `service-${String(index).padStart(4, '0')}`, vms };
}

function countVMs(groups: readonly Group[]): number {
  return groups.reduce((sum, { vms }) => sum + vms, 0);
}

function toRelease(groups: readonly Group[]): ReleaseState {
  return createRelease(groups.map(({ name, vms }) => ({ name, vms, replicas: 1 })));
}

/** Adds wanted groups until the next one would exceed the fleet's number of VMs. */
function fillUp(groups: Group[], next: () => Group): void {
  for (let group = next(); countVMs(groups) + group.vms <= FLEET_VMS; group = next()) groups.push(group);
}

/** Number of idle VMs that unplaced groups could use if fragmentation did not matter. */
function countStranded(fleet: FakeFleet): number {
  const placed = new Set([...fleet.rows.replicas.values()].map(({ replica }) => replica.service));
  const unmet = fleet.release.services
    .filter(({ definition }) => !placed.has(definition.service))
    .reduce((sum, { definition }) => sum + definition.vmsPerReplica, 0);
  const idle = [...fleet.vms.values()]
    .filter((vm) => vm.record.accelerators > 0 && !fleet.rows.allocations.has(vm.record.vm)).length;
  return Math.min(idle, unmet);
}

/**
 * Number of VMs that no packing could use: the maximum over the group sizes of the VMs that
 * groups of at least that size want beyond the whole slots of that size in all domains.
 */
function countLowerBound(groups: readonly Group[]): number {
  const domains = FLEET.zones * FLEET.domainsPerZone;
  const bounds = GROUP_SIZES.map((size) => {
    const slots = domains * Math.floor(FLEET.vmsPerDomain / size) * size;
    return countVMs(groups.filter(({ vms }) => vms >= size)) - slots;
  });
  return Math.max(0, ...bounds);
}

interface Stranding {
  readonly fresh: number;
  readonly churned: number;
  readonly boundFresh: number;
  readonly boundChurned: number;
}

function measureSeed(planner: Planner, seed: number): Stranding {
  const random = new SeededRandom(seed);
  let created = 0;
  const next = (): Group => {
    created += 1;
    return createGroup(created, random);
  };
  const groups: Group[] = [];
  fillUp(groups, next);
  const fleet = new FakeFleet(FLEET, toRelease(groups));
  simulate(fleet, planner, SETTLE_SECONDS, STEP_SECONDS);
  const fresh = countStranded(fleet);
  const boundFresh = countLowerBound(groups);
  let churned = 0;
  let boundChurned = 0;
  for (let change = 0; change < CHANGES; change += 1) {
    groups.splice(Math.floor(random.next() * groups.length), 1);
    fillUp(groups, next);
    fleet.changeRelease(toRelease(groups));
    simulate(fleet, planner, SECONDS_BETWEEN_CHANGES, STEP_SECONDS);
    churned += countStranded(fleet) / CHANGES;
    boundChurned += countLowerBound(groups) / CHANGES;
  }
  return {
    fresh, churned, boundFresh, boundChurned,
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Measures the share of accelerators that fragmentation leaves idle while demand covers the whole fleet. */
export default function measureStranding(): ExperimentRow[] {
  return PLANNERS.map(({ name, plan }) => {
    const results = SEEDS.map((seed) => measureSeed(plan, seed));
    return {
      planner: name,
      VMs: FLEET_VMS,
      'stranded after filling': mean(results.map(({ fresh }) => fresh)) / FLEET_VMS,
      'lower bound after filling': mean(results.map(({ boundFresh }) => boundFresh)) / FLEET_VMS,
      'stranded over changes': mean(results.map(({ churned }) => churned)) / FLEET_VMS,
      'lower bound over changes': mean(results.map(({ boundChurned }) => boundChurned)) / FLEET_VMS,
    };
  });
}
