import { AvailabilityZoneId } from '@dandelionlane/core';
import { planPlacement } from '../index.js';
import FakeFleet from '../test/FakeFleet.js';
import createServices from './createServices.js';
import simulate from './simulate.js';
import type ExperimentRow from './ExperimentRow.js';
import FLEETS from './FLEETS.js';
import type Planner from './Planner.js';
import PLANNERS from './PLANNERS.js';
import servingCapacity from './servingCapacity.js';

const SETTLE_SECONDS = 1_800;
const OUT_SECONDS = 900;
const BACK_SECONDS = 3_600;
const LOAD_SHARE = 2 / 3;
const DRAIN_WAIT_SECONDS = 3;
const ZONES = ['zone-0', 'zone-1', 'zone-2'].map((zone) => AvailabilityZoneId.parse(zone));

/** A fleet size, its number of wanted replicas, and the zones to take out of service. */
interface Setup {
  readonly size: 66 | 1089;
  readonly replicas: number;
  readonly zones: readonly AvailabilityZoneId[];
}

/** The small fleet has capacity for 12 replicas, the large one for 198. */
const SETUPS: readonly Setup[] = [
  { size: 66, replicas: 6, zones: ZONES },
  { size: 66, replicas: 9, zones: ZONES },
  { size: 66, replicas: 12, zones: ZONES },
  { size: 1089, replicas: 132, zones: ZONES.slice(0, 1) },
  { size: 1089, replicas: 186, zones: ZONES.slice(0, 1) },
];

/** Metrics of one phase of a zone move. */
class PhaseMetrics {
  minimumShare = 1;

  shortfall = 0;

  /** Service-seconds in which a service has no whole replica. */
  outageSeconds = 0;

  peakLoads = 0;

  placed = 0;

  record(fleet: FakeFleet, seconds: number): void {
    let wanted = 0;
    let capacity = 0;
    for (const service of servingCapacity(fleet).values()) {
      wanted += service.wanted;
      capacity += service.capacity;
      if (service.whole === 0) this.outageSeconds += seconds;
      this.shortfall += Math.max(0, service.wanted * LOAD_SHARE - service.capacity) * seconds;
    }
    this.minimumShare = Math.min(this.minimumShare, capacity / wanted);
    const loads = [...fleet.vms.values()].filter((vm) => vm.loadRemaining > 0).length;
    this.peakLoads = Math.max(this.peakLoads, loads);
  }
}

/** Delays the drains of a zone by some seconds while the replacements load. */
function delayZoneDrains(plan: Planner): Planner {
  let firstSeen: number | null = null;
  return (input) => {
    const commands = plan(input);
    const isZoneDrain = (reason: string): boolean => reason === 'availability-zone-out';
    if (firstSeen === null && commands.some(({ reason }) => isZoneDrain(reason))) {
      firstSeen = input.monotonicMilliseconds;
    }
    const isDelayed = firstSeen !== null
      && input.monotonicMilliseconds - firstSeen < DRAIN_WAIT_SECONDS * 1_000;
    return isDelayed ? commands.filter(({ reason }) => !isZoneDrain(reason)) : commands;
  };
}

function measurePhase(fleet: FakeFleet, planner: Planner, seconds: number): PhaseMetrics {
  const metrics = new PhaseMetrics();
  simulate(fleet, planner, seconds, 1, (commands, step) => {
    metrics.record(fleet, step);
    metrics.placed += commands.filter(({ kind }) => kind === 'place' || kind === 'rebuild').length;
  });
  return metrics;
}

function moveZone(
  planner: Planner,
  size: Setup['size'],
  replicas: number,
  zone: AvailabilityZoneId,
): { readonly out: PhaseMetrics; readonly back: PhaseMetrics } {
  const fleet = new FakeFleet(FLEETS[size], createServices(replicas));
  simulate(fleet, planner, SETTLE_SECONDS);
  fleet.changeRelease({ availabilityZonesOut: [zone] });
  const out = measurePhase(fleet, planner, OUT_SECONDS);
  fleet.changeRelease({ availabilityZonesOut: [] });
  const back = measurePhase(fleet, planner, BACK_SECONDS);
  return { out, back };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function measureMove(
  name: string,
  planner: Planner,
  { size, replicas, zones }: Setup,
): ExperimentRow {
  const moves = zones.map((zone) => moveZone(planner, size, replicas, zone));
  return {
    planner: name,
    VMs: size,
    replicas,
    'minimum share, out': Math.min(...moves.map(({ out }) => out.minimumShare)),
    'shortfall, out': mean(moves.map(({ out }) => out.shortfall)),
    'service-seconds dark, out': mean(moves.map(({ out }) => out.outageSeconds)),
    'minimum share, back': Math.min(...moves.map(({ back }) => back.minimumShare)),
    'shortfall, back': mean(moves.map(({ back }) => back.shortfall)),
    'placed, out': mean(moves.map(({ out }) => out.placed)),
    'placed, back': mean(moves.map(({ back }) => back.placed)),
    'peak loads, back': Math.max(...moves.map(({ back }) => back.peakLoads)),
  };
}

/**
 * Takes each zone out of service for 15 minutes and back, at a load of two thirds of the wanted
 * capacity. Reports means and extremes over the zones. The shortfall is the capacity that services
 * lack for their load, in warm-replica-seconds.
 */
export default function measureZoneMove(): ExperimentRow[] {
  return SETUPS.flatMap((setup) => [
    ...PLANNERS.map(({ name, plan }) => measureMove(name, plan, setup)),
    measureMove('policy, drain after 3 s', delayZoneDrains((input) => planPlacement(input)), setup),
  ]);
}
