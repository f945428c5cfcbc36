import { expect, test } from 'vitest';
import { ManualClock } from '@dandelionlane/core';
import TargetAbsence from '../lib/requests/TargetAbsence.js';

/** Requests for a model of which no group serves come every 100 ms. */
function pass(absence: TargetAbsence, clock: ManualClock, milliseconds: number): void {
  for (let passed = 0; passed < milliseconds; passed += 100) {
    absence.note('q', false);
    clock.advance(100);
  }
}

test('a lost group is waited for as long as a repair takes', () => {
  const clock = new ManualClock();
  const absence = new TargetAbsence(clock);
  pass(absence, clock, 1_400);
  expect(absence.isLasting('q')).toBe(false);
});

test('a model without any group for longer is not waited for', () => {
  const clock = new ManualClock();
  const absence = new TargetAbsence(clock);
  pass(absence, clock, 1_500);
  expect(absence.isLasting('q')).toBe(true);
  expect(absence.isLasting('other')).toBe(false);
});

test('a target ends the absence', () => {
  const clock = new ManualClock();
  const absence = new TargetAbsence(clock);
  pass(absence, clock, 1_500);
  absence.note('q', true);
  expect(absence.isLasting('q')).toBe(false);
});

test('an old absence says nothing', () => {
  const clock = new ManualClock();
  const absence = new TargetAbsence(clock);
  pass(absence, clock, 1_500);
  clock.advance(1_000);
  expect(absence.isLasting('q')).toBe(false);
  absence.note('q', false);
  expect(absence.isLasting('q')).toBe(false);
});
