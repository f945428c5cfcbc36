import { expect, test } from 'vitest';
import StoreEra from '../lib/table/StoreEra.js';

test('listeners are called once for each restoration', () => {
  const era = new StoreEra();
  const restorations: unknown[] = [];
  era.onRestored((restoration) => restorations.push(restoration));
  [3, 3, 4, 3, null, 4].forEach((each) => era.observe(each));
  expect(restorations).toEqual([{ from: 3, to: 4 }]);
  expect(era.current).toBe(4);
});

test('answers of another era are not usable', () => {
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
