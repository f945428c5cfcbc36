import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { FabricDomainId } from '@dandelionlane/core';
import ControlledFleet from './ControlledFleet.js';

const DOMAIN = FabricDomainId.parse('d');

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

test('a member that withdrew is replaced by a holder that follows an outage', async () => {
  const fleet = new ControlledFleet();
  const members = Array.from({ length: 4 }, (_, index) => fleet.add(`w${index}`, DOMAIN));
  fleet.start();
  for (let round = 0; round < 60; round += 1) {
    await fleet.round();
  }
  const [leaver] = members.filter(({ isServing }) => isServing);
  expect(leaver).toBeDefined();
  fleet.workers.remove(leaver!.id);
  await fleet.round();
  // The store was away from the next holder, which has no spare yet.
  fleet.workers.storeReturned();
  fleet.takeOver(2);
  fleet.add('spare', DOMAIN);
  for (let round = 0; round < 40; round += 1) {
    await fleet.round();
  }
  fleet.stop();
  expect(leaver!.isServing).toBe(false);
  const serving = [...fleet.fleet.values()].filter(({ isServing }) => isServing);
  expect(serving.flatMap(({ members: list }) => list)).not.toContain(leaver!.id);
  expect(serving).toHaveLength(1);
});
