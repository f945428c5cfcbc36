import { expect, test } from 'vitest';
import { ManualClock, SeededRandom } from '@dandelionlane/core';
import HolderLocator from '../lib/HolderLocator.js';

const SITUATION = {
  holderAddress: 'old', otherAddresses: ['a', 'b'], isLinked: false, hasConnection: false, storeAgeMilliseconds: 50,
};

function create() {
  const clock = new ManualClock(10_000);
  return { clock, search: new HolderLocator(clock, new SeededRandom(1)) };
}

test('the lease tells the holder while the store answers', () => {
  const { search, clock } = create();
  expect(search.locate(SITUATION)).toBe('old');
  clock.advance(5_000);
  search.recordRedirect('elsewhere');
  expect(search.locate({ ...SITUATION, holderAddress: 'new' })).toBe('new');
});

test('a link that works stays where it is', () => {
  const { search } = create();
  search.locate(SITUATION);
  expect(search.locate({ ...SITUATION, holderAddress: null, isLinked: true })).toBe('old');
});

test('without store and link the others are asked, and what they say is followed', () => {
  const { search, clock } = create();
  search.locate(SITUATION);
  search.locate({ ...SITUATION, isLinked: true });
  const lost = { ...SITUATION, storeAgeMilliseconds: 9_000 };
  clock.advance(500);
  expect(search.locate(lost)).toBe('old');
  clock.advance(600);
  const asked = new Set(Array.from({ length: 40 }, () => search.locate(lost)));
  expect([...asked].sort()).toEqual(['a', 'b', 'old']);
  search.recordRedirect('new');
  expect(search.locate(lost)).toBe('new');
  expect(search.locate({ ...lost, hasConnection: true })).toBe('new');
  expect(search.locate({ ...lost, isLinked: true })).toBe('new');
});

test('a connection that is being made is not given up for another guess', () => {
  const { search, clock } = create();
  clock.advance(5_000);
  const lost = { ...SITUATION, storeAgeMilliseconds: 9_000 };
  const first = search.locate(lost);
  const next = Array.from({ length: 20 }, () => search.locate({ ...lost, hasConnection: true }));
  expect(new Set(next)).toEqual(new Set([first]));
});
