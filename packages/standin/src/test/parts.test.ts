import { ManualClock, SeededRandom } from '@dandelionlane/core';
import { expect, test } from 'vitest';
import CacheEventFeed from '../lib/engine/CacheEventFeed.js';
import PrefixCache from '../lib/engine/PrefixCache.js';
import LaggingValue from '../lib/LaggingValue.js';
import RateGate from '../lib/platform/RateGate.js';

test('value is seen after its lag', () => {
  const clock = new ManualClock();
  const value = new LaggingValue('a', 100, clock);
  value.set('b');
  clock.advance(60);
  value.set('c');
  expect(value.get()).toBe('a');
  clock.advance(40);
  expect(value.get()).toBe('b');
  clock.advance(60);
  expect(value.get()).toBe('c');
});

test('gate spreads calls over time', () => {
  const clock = new ManualClock(1_000);
  const gate = new RateGate(100, clock);
  expect([gate.take(), gate.take(), gate.take()]).toEqual([0, 10, 20]);
  clock.advance(100);
  expect(gate.take()).toBe(0);
  expect(new RateGate(undefined, clock).take()).toBe(0);
});

test('known prefix needs less prefill', () => {
  const kinds: string[] = [];
  const cache = new PrefixCache(({ kind }) => kinds.push(kind));
  const shared = 'a'.repeat(64);
  expect(cache.use(`${shared}bbbb`)).toBe(17);
  expect(cache.use(`${shared}cccc`)).toBe(1);
  expect(kinds).toEqual(['stored']);
});

test('least recently used prefix is evicted', () => {
  const evicted: number[] = [];
  const cache = new PrefixCache(({ kind, prefix }) => (kind === 'evicted' ? evicted.push(prefix) : undefined));
  const prompts = Array.from({ length: 65 }, (_, index) => `prompt ${index}`);
  prompts.slice(0, 64).forEach((prompt) => cache.use(prompt));
  cache.use('prompt 0');
  cache.use('prompt 64');
  expect(evicted).toHaveLength(1);
  expect(cache.use('prompt 0')).toBe(0);
});

test('cache events come late and with gaps', () => {
  const clock = new ManualClock();
  const feed = new CacheEventFeed({ lagMilliseconds: 50, lossRatio: 0.5 }, clock, new SeededRandom(1));
  Array.from({ length: 100 }, (_, prefix) => feed.add({ kind: 'stored', prefix }));
  expect(feed.after(0)).toEqual([]);
  clock.advance(50);
  const sequences = feed.after(0).map(({ sequence }) => sequence);
  expect(sequences.length).toBeGreaterThan(30);
  expect(sequences.length).toBeLessThan(70);
  expect(feed.after(sequences[0] ?? 0)).toHaveLength(sequences.length - 1);
});
