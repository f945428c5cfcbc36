import { expect, test } from 'vitest';
import { ManualClock, ModelName } from '@dandelionlane/core';
import ModelDemand from '../lib/plan/ModelDemand.js';

const MODEL = ModelName.parse('m');
const SLOTS = 10;
const ROUND_MILLISECONDS = 120;

/** Number of replicas after recording a constant number of requests for some time. */
function follow(demand: ModelDemand, clock: ManualClock, requests: number, milliseconds: number): number {
  for (let passed = 0; passed < milliseconds; passed += ROUND_MILLISECONDS) {
    clock.advance(ROUND_MILLISECONDS);
    demand.record(new Map([[MODEL, requests]]));
  }
  return demand.countReplicas(MODEL, SLOTS);
}

test('a short burst requires less than half the replicas of lasting load', () => {
  const clock = new ManualClock();
  const demand = new ModelDemand(clock);
  follow(demand, clock, 5, 5_000);
  const burst = follow(demand, clock, 60, 300);
  expect(burst * 2).toBeLessThan(follow(demand, clock, 60, 10_000));
});

test('lasting requests require replicas with free slots', () => {
  const clock = new ManualClock();
  const demand = new ModelDemand(clock);
  expect(follow(demand, clock, 60, 10_000)).toBe(9);
  expect(follow(demand, clock, 6, 10_000)).toBe(1);
});

test('no replicas are required before the first measurement', () => {
  const demand = new ModelDemand(new ManualClock());
  expect(demand.countReplicas(MODEL, SLOTS)).toBe(0);
});
