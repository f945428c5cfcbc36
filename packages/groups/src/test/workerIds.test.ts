import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { FabricDomainId, WorkerId } from '@dandelionlane/core';
import warmUpGroupOf from '../lib/plan/warmUpGroupOf.js';
import ControlledFleet from './ControlledFleet.js';

const DOMAIN = FabricDomainId.parse('d');
const WORKERS = 26;
const ROUNDS = 60;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

// Guards against a holder that cannot plan because a worker's id does not fit into the name of a group.
test.each(['i:1/2', 'i'.repeat(200)])('groups form of workers with ids like %s', async (prefix) => {
  const fleet = new ControlledFleet();
  Array.from({ length: WORKERS }, (_, index) => `${index}${prefix}`.slice(0, 200))
    .forEach((id) => fleet.add(id, DOMAIN));
  fleet.start();
  await fleet.rounds(ROUNDS);
  fleet.stop();
  expect(fleet.serving().length).toBeGreaterThan(1);
});

test('the name of a warm-up group has the id of its worker where that fits', () => {
  expect(warmUpGroupOf(WorkerId.parse('i-1'))).toBe('warm-up-i-1');
  expect(warmUpGroupOf(WorkerId.parse('i/1'))).toMatch(/^warm-up-\d+$/);
});
