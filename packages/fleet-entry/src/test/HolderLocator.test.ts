import { expect, test } from 'vitest';
import { ManualClock, SeededRandom } from '@dandelionlane/core';
import HolderLocator from '../lib/HolderLocator.js';

const STATE = {
  holderAddress: 'old', otherAddresses: ['a', 'b'], isLinked: false, hasConnection: false, storeAgeMilliseconds: 50,
};

function create() {
  const clock = new ManualClock(10_000);
  return { clock, locator: new HolderLocator(clock, new SeededRandom(1)) };
}

test('the holder of the lease is used while the store answers', () => {
  const { locator, clock } = create();
  expect(locator.locate(STATE)).toBe('old');
  clock.advance(5_000);
  locator.recordRedirect('elsewhere');
  expect(locator.locate({ ...STATE, holderAddress: 'new' })).toBe('new');
});

test('an established link keeps its address', () => {
  const { locator } = create();
  locator.locate(STATE);
  expect(locator.locate({ ...STATE, holderAddress: null, isLinked: true })).toBe('old');
});

test('without store and link other entries are tried, and their redirects are followed', () => {
  const { locator, clock } = create();
  locator.locate(STATE);
  locator.locate({ ...STATE, isLinked: true });
  const lost = { ...STATE, storeAgeMilliseconds: 9_000 };
  clock.advance(500);
  expect(locator.locate(lost)).toBe('old');
  clock.advance(600);
  const asked = new Set(Array.from({ length: 40 }, () => locator.locate(lost)));
  expect([...asked].sort()).toEqual(['a', 'b', 'old']);
  locator.recordRedirect('new');
  expect(locator.locate(lost)).toBe('new');
  expect(locator.locate({ ...lost, hasConnection: true })).toBe('new');
  expect(locator.locate({ ...lost, isLinked: true })).toBe('new');
});

test('a pending connection is not abandoned for another address', () => {
  const { locator, clock } = create();
  clock.advance(5_000);
  const lost = { ...STATE, storeAgeMilliseconds: 9_000 };
  const first = locator.locate(lost);
  const next = Array.from({ length: 20 }, () => locator.locate({ ...lost, hasConnection: true }));
  expect(new Set(next)).toEqual(new Set([first]));
});
