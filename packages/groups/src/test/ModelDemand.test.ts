import { expect, test } from 'vitest';
import { ManualClock, ModelName } from '@dandelionlane/core';
import ModelDemand from '../lib/plan/ModelDemand.js';

const MODEL = ModelName.parse('m');
const SLOTS = 10;
const ROUND_MILLISECONDS = 120;

/** Demand after so many requests were told for so long. */
function follow(demand: ModelDemand, clock: ManualClock, requests: number, milliseconds: number): number {
  for (let passed = 0; passed < milliseconds; passed += ROUND_MILLISECONDS) {
    clock.advance(ROUND_MILLISECONDS);
    demand.record(new Map([[MODEL, requests]]));
  }
  return demand.countReplicas(MODEL, SLOTS);
}

test('a burst of a moment asks for less than half of what it would if it lasted', () => {
  const clock = new ManualClock();
  const demand = new ModelDemand(clock);
  follow(demand, clock, 5, 5_000);
  const burst = follow(demand, clock, 60, 300);
  expect(burst * 2).toBeLessThan(follow(demand, clock, 60, 10_000));
});

test('lasting requests ask for replicas with room to spare', () => {
  const clock = new ManualClock();
  const demand = new ModelDemand(clock);
  expect(follow(demand, clock, 60, 10_000)).toBe(9);
  expect(follow(demand, clock, 6, 10_000)).toBe(1);
});

test('nothing is asked for before anything is measured', () => {
  const demand = new ModelDemand(new ManualClock());
  expect(demand.countReplicas(MODEL, SLOTS)).toBe(0);
});
