import { expect, test } from 'vitest';
import {
  FabricDomainId, FencingNumber, ManualClock, ModelName, ServiceId, WorkerId,
} from '@dandelionlane/core';
import { GroupWorker } from '@dandelionlane/standin';
import FleetObservation from '../lib/observation/FleetObservation.js';
import type ObservedWorker from '../lib/observation/ObservedWorker.js';
import EpochSource from '../lib/plan/EpochSource.js';
import ModelDemand from '../lib/plan/ModelDemand.js';
import FreeWorkerPool from '../lib/plan/FreeWorkerPool.js';
import planNewGroups from '../lib/plan/planNewGroups.js';
import createEngine from './createEngine.js';

const LARGE = ModelName.parse('large');
const SMALL = ModelName.parse('small');

function observe(id: string, domain: FabricDomainId): [WorkerId, ObservedWorker] {
  const member = new GroupWorker(WorkerId.parse(id), 0);
  return [member.id, {
    worker: { ...member.worker(), domain },
    isRegistered: true,
    report: member.report(),
    hasEnded: false,
    misses: 0,
    silentMilliseconds: 0,
    groupStateMilliseconds: 0,
    lastModel: null,
    isOpening: false,
    hasPendingOrder: false,
  }];
}

/** Number of new groups per model, with 12 workers in a large and 6 in a small group. */
function countGroups(
  domains: number,
  domainSize: number,
  shares: readonly [number, number],
): Map<ModelName, number> {
  const engine = createEngine(4, [
    {
      name: LARGE, groupSize: 12, pace: 1, workShare: shares[0],
    },
    {
      name: SMALL, groupSize: 6, pace: 0.6, workShare: shares[1],
    },
  ]);
  const names = Array.from({ length: domains }, (_, index) => FabricDomainId.parse(`domain-${index}`));
  const observed = new Map(names.flatMap((domain) => (
    Array.from({ length: domainSize }, (_, index) => observe(`${domain}-${index}`, domain))
  )));
  const observation = new FleetObservation(observed, 10_000);
  const counts = new Map<ModelName, number>();
  planNewGroups({
    service: ServiceId.parse('model'),
    engine,
    records: [],
    pool: new FreeWorkerPool(observation, [], [...observed.keys()]),
    epochs: new EpochSource(FencingNumber.parse(1)),
    domainSizes: new Map(names.map((name) => [name, domainSize])),
    observation,
    demand: new ModelDemand(new ManualClock()),
    closedZones: new Set(),
  }).forEach((step) => {
    if (step.kind === 'write') {
      counts.set(step.record.model, (counts.get(step.record.model) ?? 0) + 1);
    }
  });
  return counts;
}

test('models get workers in proportion to their share of the work', () => {
  expect(countGroups(8, 27, [0.5, 0.5])).toEqual(new Map([[LARGE, 8], [SMALL, 16]]));
});

test('shares in proportion to group sizes give equal numbers of replicas', () => {
  expect(countGroups(6, 20, [0.67, 0.33])).toEqual(new Map([[LARGE, 6], [SMALL, 6]]));
});
