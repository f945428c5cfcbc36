import { expect, test } from 'vitest';
import { SeededRandom } from '@dandelionlane/core';
import type SoakCourse from '../lib/faults/SoakCourse.js';
import planCourse from '../lib/faults/planCourse.js';
import planFaults from '../lib/faults/planFaults.js';

function plan(course: SoakCourse) {
  return planCourse({
    seed: 4, seconds: 30, entries: 3, rate: 30, restorations: 2, course, grace: 6, directory: '',
  }, {
    entries: 3, workers: 13, plainWorkers: 4, faultyWorkers: 11,
  });
}

test('a course without planned work draws the faults that its seed drew before', () => {
  const unplanned = plan('unplanned');
  expect(unplanned.slice(0, -2)).toEqual(planFaults(30_000, 3, 11, new SeededRandom(4)));
  expect(unplanned.slice(-2).map(({ fault }) => fault.kind)).toEqual(['store-restored', 'store-restored']);
});

test('a course that leaves faults out draws the others as it does with them', () => {
  const kinds = (course: SoakCourse) => new Set(plan(course).map(({ fault }) => fault.kind));
  expect(kinds('stops')).toEqual(new Set([...kinds('planned')].filter((kind) => kind !== 'workers-silent')));
  expect(kinds('silences')).toEqual(new Set([...kinds('planned')].filter((kind) => kind !== 'entry-stopped')));
  const planned = plan('planned');
  expect(planned).toEqual(expect.arrayContaining([...plan('stops')]));
  expect(planned).toEqual(expect.arrayContaining([...plan('silences')]));
  expect(plan('all')).toEqual(expect.arrayContaining([...planned, ...plan('unplanned')]));
});

test('course paths cuts off some entries, never all, and only these', () => {
  const faults = Array.from({ length: 30 }, (_, seed) => planCourse({
    seed, seconds: 40, entries: 6, rate: 30, restorations: 0, course: 'paths', directory: '',
  }, {
    entries: 6, workers: 13, plainWorkers: 4, faultyWorkers: 11,
  })).flat();
  const cuts = faults.flatMap(({ fault }) => (fault.kind === 'paths-cut' ? [fault] : []));
  expect(new Set(cuts.map(({ entries }) => entries.length))).toEqual(new Set([1, 2, 3, 5]));
  expect(new Set(cuts.map(({ state }) => state))).toEqual(new Set(['silent', 'reset', 'established']));
  expect(cuts.every(({ entries }) => new Set(entries).size === entries.length)).toBe(true);
  expect(faults.every(({ fault }) => fault.kind === 'paths-cut' || fault.kind === 'store-fails')).toBe(true);
});

test('course vanishings ends plain and model workers in all ways, some of them for a moment, beside other faults', () => {
  const faults = Array.from({ length: 30 }, (_, seed) => planCourse({
    seed, seconds: 30, entries: 4, rate: 20, restorations: 0, course: 'vanishings', directory: '',
  }, {
    entries: 4, workers: 13, plainWorkers: 4, faultyWorkers: 11,
  })).flat();
  const ends = faults.flatMap(({ fault, forMilliseconds }) => (
    fault.kind === 'worker-vanishes' || fault.kind === 'worker-crashes' ? [{ ...fault, forMilliseconds }] : []
  ));
  expect(new Set(ends.map((end) => (end.kind === 'worker-vanishes' ? end.address : 'refusing'))))
    .toEqual(new Set(['mute', 'closing', 'refusing']));
  expect(new Set(ends.map(({ worker }) => worker)).size).toBe(11);
  expect(ends.some(({ forMilliseconds }) => forMilliseconds <= 150)).toBe(true);
  expect(new Set(faults.map(({ fault }) => fault.kind))).toEqual(new Set([
    'worker-vanishes', 'worker-crashes', 'entry-paused', 'entry-killed', 'paths-cut',
  ]));
});
