import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type SoakOptions from '../lib/SoakOptions.js';
import type Violation from '../lib/journal/Violation.js';
import runSoak from '../lib/runSoak.js';

/**
 * Runs a soak and returns the promises that it broke, without those with bounds of time: they are left to
 * runs by hand. The logs of the processes stay where one was broken.
 */
export default async function findBrokenPromises(
  options: Omit<SoakOptions, 'directory'>,
): Promise<readonly Violation[]> {
  const directory = await mkdtemp(join(tmpdir(), 'dandelionlane-soak-'));
  const { violations } = await runSoak({ ...options, directory });
  const broken = violations.filter(({ timed }) => !timed);
  if (broken.length === 0) {
    await rm(directory, { recursive: true, force: true });
  }
  return broken;
}
