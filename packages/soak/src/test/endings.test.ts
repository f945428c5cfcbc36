import { expect, test } from 'vitest';
import findBrokenPromises from './findBrokenPromises.js';

// Ends of processes made streams without a length look complete, requests ran on more workers than
// their routes allow, and answers without an end took the memory of an entry.
test('course endings of seed 9701 with 4 entries breaks no promise', async () => {
  expect(await findBrokenPromises({
    seed: 9701, seconds: 14, entries: 4, rate: 20, restorations: 0, course: 'endings', grace: 3,
  })).toEqual([]);
});

// Halves of answers were passed on as whole: workers ended under them, and what was at their addresses then,
// silence, a front or the next process, counted as them.
test('course vanishings of seed 9741 with 4 entries breaks no promise', async () => {
  expect(await findBrokenPromises({
    seed: 9741, seconds: 12, entries: 4, rate: 20, restorations: 0, course: 'vanishings', grace: 3,
  })).toEqual([]);
});
