import { expect, test } from 'vitest';
import findBrokenPromises from './findBrokenPromises.js';

/** Short seeded runs over entry processes. Promises with bounds of time are left to runs by hand. */
test.each([
  [4, 0], [11, 0], [21, 2],
])('seed %i with %i returns of the store breaks no promise', async (seed, restorations) => {
  expect(await findBrokenPromises({
    seed, seconds: 6, entries: 3, rate: 30, restorations, course: 'unplanned', grace: 3,
  })).toEqual([]);
});

// Callers of entries that had lost their paths to all workers were refused, though others reached them.
test.each([
  [9901, 4], [9904, 4],
])('course paths of seed %i with %i entries serves the callers of all entries', async (seed, entries) => {
  expect(await findBrokenPromises({
    seed, seconds: 12, entries, rate: 20, restorations: 0, course: 'paths',
  })).toEqual([]);
});

// One request that came again crashed one back end after the other.
test('course crashes of seed 9801 with 4 entries bounds what one request may crash', async () => {
  expect(await findBrokenPromises({
    seed: 9801, seconds: 14, entries: 4, rate: 20, restorations: 0, course: 'crashes', grace: 3,
  })).toEqual([]);
});

// Streams whose target fell silent for a second were given up before they had another one, and requests that
// came while a stopping entry made its last call to the store were cut as its process ended.
test.each([
  ['silences', 9402, { entries: 3, seconds: 6, rate: 30 }],
  ['stops', 9401, { entries: 4, seconds: 8, rate: 20 }],
  ['planned', 9203, { entries: 4, seconds: 8, rate: 20 }],
] as const)('course %s of seed %i loses no accepted request', async (course, seed, size) => {
  expect(await findBrokenPromises({
    // With a shorter grace period, a stopping entry refuses requests before it finds itself idle.
    ...size, seed, course, grace: 8, restorations: 0,
  })).toEqual([]);
});
