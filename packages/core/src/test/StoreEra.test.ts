import { expect, test } from 'vitest';
import StoreEra from '../lib/table/StoreEra.js';

test('a rise of the era is told once', () => {
  const era = new StoreEra();
  const told: unknown[] = [];
  era.onRestored((restoration) => told.push(restoration));
  [3, 3, 4, 3, null, 4].forEach((each) => era.observe(each));
  expect(told).toEqual([{ from: 3, to: 4 }]);
  expect(era.current).toBe(4);
});

test('answers of another era are not used', () => {
  const era = new StoreEra();
  expect(era.isUsable(null, null)).toBe(true);
  era.observe(3);
  expect(era.isUsable(null, 3)).toBe(true);
  era.observe(4);
  expect(era.isUsable(3, 4)).toBe(false);
  expect(era.isUsable(4, 3)).toBe(false);
  expect(era.isUsable(3, null)).toBe(false);
  expect(era.isUsable(4, null)).toBe(true);
});
