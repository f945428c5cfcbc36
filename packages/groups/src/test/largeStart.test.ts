import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { FabricDomainId } from '@dandelionlane/core';
import ControlledFleet from './ControlledFleet.js';

const DOMAINS = 25;
const DOMAIN_SIZE = 35;

/** Calls to workers per round that still leave the process time for its links. */
const CALLS_PER_ROUND = 60;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

test('groups of 875 new workers form without a burst of calls', async () => {
  const fleet = new ControlledFleet();
  for (let index = 0; index < DOMAINS * DOMAIN_SIZE; index += 1) {
    fleet.add(`w${index}`, FabricDomainId.parse(`d${index % DOMAINS}`));
  }
  fleet.start();
  let mostCalls = 0;
  for (let round = 0; round < 400; round += 1) {
    await fleet.round();
    mostCalls = Math.max(mostCalls, fleet.calls);
  }
  fleet.stop();
  const sizes = fleet.serving().map(({ members }) => members.length);
  expect(sizes.filter((size) => size === 16)).toHaveLength(25);
  expect(sizes.filter((size) => size === 4)).toHaveLength(100);
  expect(mostCalls).toBeLessThanOrEqual(CALLS_PER_ROUND);
}, 30_000);
