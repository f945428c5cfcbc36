import { SeededRandom } from '@dandelionlane/core';
import { expect, test } from 'vitest';
import { LoadSettings, planCalls } from '../index.js';

const settings = LoadSettings.parse({
  entries: ['127.0.0.1:1'],
  ratePerSecond: 100,
  durationSeconds: 100,
  traffic: [
    { team: 'large', weight: 3, calls: { kind: 'chat', service: 'proofs', maximumTokens: 8 } },
    { team: 'small', weight: 1, calls: { kind: 'keyed', service: 'slots', repeatShare: 0.5 } },
  ],
});

function plan(seed: number) {
  return [...planCalls(settings, 'load-run', new SeededRandom(seed))];
}

test('same seed, same calls', () => {
  expect(plan(7)).toEqual(plan(7));
  expect(plan(7)).not.toEqual(plan(8));
});

test('arrivals are Poisson at the rate', () => {
  const offsets = plan(1).map(({ offsetMilliseconds }) => offsetMilliseconds);
  expect(offsets.length).toBeGreaterThan(9_700);
  expect(offsets.length).toBeLessThan(10_300);
  const gaps = offsets.slice(1).map((offset, index) => offset - (offsets[index] ?? 0));
  const mean = gaps.reduce((total, gap) => total + gap, 0) / gaps.length;
  const variance = gaps.reduce((total, gap) => total + (gap - mean) ** 2, 0) / gaps.length;
  expect(Math.sqrt(variance) / mean).toBeCloseTo(1, 1);
});

test('weights share the arrivals', () => {
  const calls = plan(1);
  const large = calls.filter(({ team }) => team === 'large').length;
  expect(large / calls.length).toBeCloseTo(0.75, 1);
});

test('repeated key has the same slot', () => {
  const keyed = plan(1).flatMap(({ content }) => (content.kind === 'keyed' ? [content] : []));
  const slots = new Map(keyed.map(({ key, slot }) => [key, slot]));
  expect(slots.size).toBeLessThan(keyed.length * 0.6);
  expect(keyed.every(({ key, slot }) => slots.get(key) === slot)).toBe(true);
});
