import { expect, test } from 'vitest';
import { ManualClock, SeededRandom } from '@dandelionlane/core';
import HolderSearch from '../lib/HolderSearch.js';

const SITUATION = {
  known: 'old', others: ['a', 'b'], isLinked: false, isEngaged: false, storeAgeMilliseconds: 50,
};

function create() {
  const clock = new ManualClock(10_000);
  return { clock, search: new HolderSearch(clock, new SeededRandom(1)) };
}

test('the lease tells the holder while the store answers', () => {
  const { search, clock } = create();
  expect(search.address(SITUATION)).toBe('old');
  clock.advance(5_000);
  search.redirected('elsewhere');
  expect(search.address({ ...SITUATION, known: 'new' })).toBe('new');
});

test('a link that works stays where it is', () => {
  const { search } = create();
  search.address(SITUATION);
  expect(search.address({ ...SITUATION, known: null, isLinked: true })).toBe('old');
});

test('without store and link the others are asked, and what they say is followed', () => {
  const { search, clock } = create();
  search.address(SITUATION);
  search.address({ ...SITUATION, isLinked: true });
  const lost = { ...SITUATION, storeAgeMilliseconds: 9_000 };
  clock.advance(500);
  expect(search.address(lost)).toBe('old');
  clock.advance(600);
  const asked = new Set(Array.from({ length: 40 }, () => search.address(lost)));
  expect([...asked].sort()).toEqual(['a', 'b', 'old']);
  search.redirected('new');
  expect(search.address(lost)).toBe('new');
  expect(search.address({ ...lost, isEngaged: true })).toBe('new');
  expect(search.address({ ...lost, isLinked: true })).toBe('new');
});

test('a connection that is being made is not given up for another guess', () => {
  const { search, clock } = create();
  clock.advance(5_000);
  const lost = { ...SITUATION, storeAgeMilliseconds: 9_000 };
  const first = search.address(lost);
  const next = Array.from({ length: 20 }, () => search.address({ ...lost, isEngaged: true }));
  expect(new Set(next)).toEqual(new Set([first]));
});
