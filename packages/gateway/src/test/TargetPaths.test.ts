import { expect, test } from 'vitest';
import { ManualClock, SeededRandom, ServiceId } from '@dandelionlane/core';
import { WorkerTable } from '@dandelionlane/fleet';
import { MetricsRegistry, type Log } from '@dandelionlane/telemetry';
import TargetPaths from '../lib/paths/TargetPaths.js';
import createWorker from './createWorker.js';

const SERVICE = ServiceId.parse('plain');
const LOG: Log = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

/** Paths to some targets, those of which that are in `reached` answer. */
function createPaths(targets: number, reached: Set<string>) {
  const clock = new ManualClock();
  const workers = new WorkerTable(clock);
  const all = Array.from({ length: targets }, (_, index) => createWorker(index));
  all.forEach((each) => workers.put(each));
  const paths = new TargetPaths({
    workers,
    probe: ({ id }) => Promise.resolve(reached.has(id) ? 'answered' : 'unanswered'),
    clock,
    random: new SeededRandom(1),
    log: LOG,
    metrics: new MetricsRegistry(),
  });
  return { clock, paths, all };
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// An entry that had lost its own paths took all targets for lost.
test('paths are lost once several targets fail and none answers', async () => {
  const { paths, all } = createPaths(6, new Set());
  const lost: string[] = [];
  paths.onLost((service) => lost.push(service));
  all.slice(0, 2).forEach((each) => paths.recordFailure(each));
  expect(paths.isInDoubt(SERVICE)).toBe(true);
  await settle();
  expect(paths.isLost(SERVICE)).toBe(true);
  expect(lost).toEqual([SERVICE]);
});

test('one target that fails proves nothing', async () => {
  const { paths, all } = createPaths(6, new Set());
  all.slice(0, 1).forEach((each) => {
    paths.recordFailure(each);
    paths.recordFailure(each);
  });
  await settle();
  expect(paths.isInDoubt(SERVICE)).toBe(false);
});

test('targets that fail while others answer are lost themselves', async () => {
  const { paths, all } = createPaths(4, new Set(['w3']));
  all.slice(0, 3).forEach((each) => paths.recordFailure(each));
  await settle();
  expect(paths.isLost(SERVICE)).toBe(false);
  expect(paths.isInDoubt(SERVICE)).toBe(false);
});

test('failures long after each other do not count together', async () => {
  const { clock, paths, all } = createPaths(6, new Set());
  all.slice(0, 3).forEach((each) => {
    paths.recordFailure(each);
    clock.advance(1_100);
  });
  await settle();
  expect(paths.isLost(SERVICE)).toBe(false);
});

test('lost paths are back once half of the targets answer', async () => {
  const reached = new Set<string>();
  const { paths, all } = createPaths(4, reached);
  const returned: string[] = [];
  paths.onReturned((service) => returned.push(service));
  all.forEach((each) => paths.recordFailure(each));
  await settle();
  reached.add('w0');
  expect(await paths.check(SERVICE)).toBe(false);
  reached.add('w1');
  expect(await paths.check(SERVICE)).toBe(true);
  expect(paths.lostServices).toEqual([]);
  expect(returned).toEqual([SERVICE]);
});
