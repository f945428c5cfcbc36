import { expect, test } from 'vitest';
import { SeededRandom } from '@dandelionlane/core';
import planWork from '../lib/faults/planWork.js';

const GRACE_MILLISECONDS = 8_000;
const ENTRIES = 4;
const WORKERS = 13;

function plan(seed: number) {
  return planWork(200_000, ENTRIES, WORKERS, GRACE_MILLISECONDS, new SeededRandom(seed));
}

test('a seed decides the planned work', () => {
  expect(plan(3)).toEqual(plan(3));
  expect(plan(3)).not.toEqual(plan(4));
});

test('planned work comes with silence and faults of the store, and overlaps', () => {
  const work = plan(1);
  expect(new Set(work.map(({ fault }) => fault.kind))).toEqual(new Set([
    'workers-silent', 'entry-stopped', 'configuration-changes', 'store-fails', 'store-link',
  ]));
  const overlaps = work.filter(({ atMilliseconds, forMilliseconds }, index) => (
    (work[index + 1]?.atMilliseconds ?? Number.POSITIVE_INFINITY) < atMilliseconds + forMilliseconds
  ));
  expect(overlaps.length).toBeGreaterThan(work.length / 4);
});

test('a third of the workers or more fall silent, for a second or so', () => {
  const silences = plan(1).flatMap(({ fault, forMilliseconds }) => (
    fault.kind === 'workers-silent' ? [{ workers: fault.workers.length, forMilliseconds }] : []
  ));
  const mean = silences.reduce((sum, { workers }) => sum + workers, 0) / silences.length / WORKERS;
  expect(mean).toBeGreaterThan(0.5);
  expect(mean).toBeLessThan(0.8);
  expect(Math.max(...silences.map(({ workers }) => workers))).toBe(WORKERS);
  expect(Math.min(...silences.map(({ forMilliseconds }) => forMilliseconds))).toBeGreaterThanOrEqual(800);
  expect(Math.max(...silences.map(({ forMilliseconds }) => forMilliseconds))).toBeLessThanOrEqual(1_500);
});

test('planned stops leave an entry, and come with all states of its link to the store', () => {
  const stops = plan(2).flatMap(({ fault, atMilliseconds }) => (
    fault.kind === 'entry-stopped' ? [{ ...fault, atMilliseconds }] : []
  ));
  expect(new Set(stops.map(({ storeLink }) => storeLink))).toEqual(new Set(['open', 'slow', 'silent']));
  stops.forEach(({ atMilliseconds }) => {
    const during = stops.filter((other) => (
      other.atMilliseconds >= atMilliseconds && other.atMilliseconds < atMilliseconds + GRACE_MILLISECONDS
    ));
    expect(new Set(during.map(({ entry }) => entry)).size).toBeLessThan(ENTRIES);
  });
});
