import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { ModelName, SeededRandom, type RandomSource } from '@dandelionlane/core';
import LAYOUTS from './simulation/LAYOUTS.js';
import SimulatedFleet from './simulation/SimulatedFleet.js';

const STEP_MILLISECONDS = 200;
const LARGE = ModelName.parse('large');
const SMALL = ModelName.parse('small');

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

function pick<Item>(items: readonly Item[], random: RandomSource): Item | undefined {
  return items[Math.floor(random.next() * items.length)];
}

/** Loses two members of groups every 3 s, one zone after the other, and adds as many empty workers. */
async function playLosses(fleet: SimulatedFleet, milliseconds: number, seed: number): Promise<void> {
  const random = new SeededRandom(seed);
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
    const zone = Math.floor(elapsed / 3_000) % 3;
    if (elapsed % 3_000 === 2_000) {
      for (let count = 0; count < 2; count += 1) {
        const member = pick(fleet.workersOf(zone).filter(({ group }) => group !== null), random);
        if (member !== undefined) {
          fleet.lose(member);
        }
      }
    }
    if (elapsed % 3_000 === 600) {
      fleet.add((zone + 2) % 3, Math.floor(random.next() * 2), 1);
      fleet.add((zone + 2) % 3, Math.floor(random.next() * 2), 1);
    }
    await fleet.advance(STEP_MILLISECONDS);
  }
}

test('losses every three seconds leave nine in ten groups serving', async () => {
  const shares: number[] = [];
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const fleet = new SimulatedFleet(LAYOUTS.shifted);
    await fleet.start();
    const planned = fleet.wholeGroups().length;
    await playLosses(fleet, 48_000, seed);
    fleet.stop();
    const serving = [...fleet.means().values()].reduce((sum, { groups }) => sum + groups, 0);
    shares.push(serving / planned);
  }
  expect(shares.reduce((sum, share) => sum + share, 0) / shares.length).toBeGreaterThan(0.9);
}, 120_000);

test.each([[0, 1], [1, 0]])('domains that return one after the other, %i first, load nothing', async (...order) => {
  const fleet = new SimulatedFleet(LAYOUTS.shifted);
  await fleet.start();
  const zone = fleet.workersOf(0);
  zone.forEach((worker) => fleet.lose(worker));
  await fleet.advance(6_000);
  for (const index of order) {
    zone.filter(({ domain }) => domain.endsWith(String(index))).forEach((worker) => fleet.bringBack(worker));
    await fleet.advance(2_000);
  }
  await fleet.advance(2_000);
  fleet.stop();
  expect(fleet.wholeGroups()).toHaveLength(18);
  expect(fleet.weights.started).toBe(0);
}, 60_000);

test('groups of one model share domains, and the models share zones', async () => {
  const fleet = new SimulatedFleet(LAYOUTS.shifted);
  await fleet.start();
  fleet.stop();
  const heads = fleet.wholeGroups();
  const modelsIn = (key: (head: typeof heads[number]) => string) => {
    const models = new Map<string, Set<string>>();
    heads.forEach((head) => {
      models.set(key(head), (models.get(key(head)) ?? new Set()).add(String(head.model)));
    });
    return [...models.values()].map(({ size }) => size);
  };
  expect(modelsIn(({ domain }) => domain)).toEqual([1, 1, 1, 1, 1, 1]);
  expect(modelsIn(({ zone }) => zone)).toEqual([2, 2, 2]);
}, 60_000);

test('each model keeps its share of compact domains', async () => {
  const fleet = new SimulatedFleet(LAYOUTS.compact);
  await fleet.start();
  fleet.stop();
  expect(fleet.wholeGroups().filter(({ model }) => model === LARGE)).toHaveLength(5);
  expect(fleet.wholeGroups().filter(({ model }) => model === SMALL)).toHaveLength(8);
}, 60_000);
