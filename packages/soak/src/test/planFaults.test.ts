import { expect, test } from 'vitest';
import { SeededRandom } from '@dandelionlane/core';
import planFaults from '../lib/faults/planFaults.js';

test('a seed decides the faults', () => {
  const plan = (seed: number) => planFaults(20_000, 4, 10, new SeededRandom(seed));
  expect(plan(3)).toEqual(plan(3));
  expect(plan(3)).not.toEqual(plan(4));
});

test('all kinds of faults come, and overlap', () => {
  const faults = planFaults(200_000, 4, 10, new SeededRandom(1));
  expect(new Set(faults.map(({ fault }) => fault.kind)).size).toBe(13);
  const overlaps = faults.filter(({ atMilliseconds, forMilliseconds }, index) => (
    (faults[index + 1]?.atMilliseconds ?? Number.POSITIVE_INFINITY) < atMilliseconds + forMilliseconds
  ));
  expect(overlaps.length).toBeGreaterThan(faults.length / 2);
});
