import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import runSoak from '../lib/runSoak.js';

/** Short seeded runs over entry processes. Promises with bounds of time are left to runs by hand. */
test.each([
  [4, 0], [11, 0], [21, 2],
])('seed %i with %i returns of the store breaks no promise', async (seed, restorations) => {
  const directory = await mkdtemp(join(tmpdir(), 'dandelionlane-soak-'));
  const report = await runSoak({
    seed, seconds: 6, entries: 3, rate: 30, restorations, course: 'unplanned', grace: 3, build: null, directory,
  });
  expect(report.violations.filter(({ timed }) => !timed)).toEqual([]);
  await rm(directory, { recursive: true, force: true });
});
