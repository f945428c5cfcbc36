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

test('a holder that takes over after an outage replaces a withdrawn member', async () => {
  const fleet = new ControlledFleet();
  fleet.addAll(4, DOMAIN);
  fleet.start();
  await fleet.rounds(60);
  const [leaver] = fleet.serving();
  expect(leaver).toBeDefined();
  fleet.workers.remove(leaver!.id);
  await fleet.round();
  // The next holder could not reach the store and has no spare yet.
  fleet.workers.recordStoreRecovery();
  fleet.takeOver(2);
  fleet.add('spare', DOMAIN);
  await fleet.rounds(40);
  fleet.stop();
  expect(leaver!.isServing).toBe(false);
  const serving = fleet.serving();
  expect(serving.flatMap(({ members: list }) => list)).not.toContain(leaver!.id);
  expect(serving).toHaveLength(1);
});
