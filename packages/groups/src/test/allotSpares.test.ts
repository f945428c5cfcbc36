import { expect, test } from 'vitest';
import { ModelName } from '@dandelionlane/core';
import allotSpares from '../lib/plan/allotSpares.js';

const LARGE = ModelName.parse('large');
const SMALL = ModelName.parse('small');

function allot(large: number, small: number, spares: number): readonly (number | undefined)[] {
  const allotted = allotSpares(new Map([[SMALL, small], [LARGE, large]]), spares);
  return [allotted.get(LARGE), allotted.get(SMALL)];
}

test('the only spare goes to the model with the most workers', () => {
  expect(allot(6, 3, 1)).toEqual([1, 0]);
});

test('each model has a spare before one has two', () => {
  expect(allot(6, 3, 2)).toEqual([1, 1]);
});

test('further spares are allotted in proportion to the number of workers', () => {
  expect(allot(6, 3, 3)).toEqual([2, 1]);
  expect(allot(6, 3, 4)).toEqual([3, 1]);
  expect(allot(6, 6, 4)).toEqual([2, 2]);
});

test('without groups no spares are allotted', () => {
  expect([...allotSpares(new Map(), 3)]).toEqual([]);
});
