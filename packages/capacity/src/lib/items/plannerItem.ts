import { Allocation, VMRecord } from '@dandelionlane/core';
import { planPlacement, type PlacementInput } from '@dandelionlane/placement';
import createPlacement from '../createPlacement.js';
import createReleaseState from '../createReleaseState.js';
import createReport from '../createReport.js';
import DESIGN_SIZE from '../DESIGN_SIZE.js';
import type MeasuredItem from '../MeasuredItem.js';
import timeOperation from '../timeOperation.js';

const SETTLED_MILLISECONDS = 1_000_000;

/** A settled region with one replica a service and no VM to spare. */
function createInput(services: number): PlacementInput {
  const replicas = Array.from({ length: services }, (_, number) => createPlacement(number).replicas[0]!);
  const members = replicas.flatMap((replica) => replica.members.map((member) => ({ replica, member })));
  return {
    monotonicMilliseconds: SETTLED_MILLISECONDS,
    release: createReleaseState(services),
    replicas: replicas.map((replica) => ({ replica, stateMilliseconds: SETTLED_MILLISECONDS })),
    vms: members.map(({ member }, number) => ({
      record: VMRecord.parse({ ...member, accelerators: 4, state: 'live' }),
      report: createReport(number),
      unreachableMilliseconds: 0,
    })),
    allocations: members.map(({ replica, member }) => Allocation.parse({
      vm: member.vm, replica: replica.replica, service: replica.service, fencing: 4_211,
    })),
  };
}

/** One planning round of a settled region. */
const plannerItem: MeasuredItem = {
  name: 'Planner',
  async measure() {
    const whole = createInput(DESIGN_SIZE.servicesPerRegion);
    const quarter = createInput(Math.floor(DESIGN_SIZE.servicesPerRegion / 4));
    return [
      { name: 'planner.quarterRegion', value: timeOperation(() => planPlacement(quarter)), unit: 'us' },
      { name: 'planner.region', value: timeOperation(() => planPlacement(whole)), unit: 'us' },
      { name: 'planner.commandsWhenSettled', value: planPlacement(whole).length, unit: '' },
    ];
  },
};

export default plannerItem;
