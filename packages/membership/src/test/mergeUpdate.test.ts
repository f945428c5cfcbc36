import fc from 'fast-check';
import { expect, test } from 'vitest';
import createEntryRecord from '../experiments/createEntryRecord.js';
import { Liveness, type MemberUpdate } from '../index.js';
import mergeUpdate from '../lib/membership/mergeUpdate.js';

const SEED = 7;

const updates: fc.Arbitrary<MemberUpdate> = fc.record({
  entry: fc.nat(2).map((incarnation) => createEntryRecord(1, 1, incarnation)),
  refutation: fc.nat(2),
  liveness: fc.constantFrom(...Liveness.options),
  leaving: fc.boolean(),
});

test('merge is commutative', () => {
  fc.assert(fc.property(updates, updates, (left, right) => {
    expect(mergeUpdate(left, right)).toEqual(mergeUpdate(right, left));
  }), { seed: SEED });
});

test('merge is associative', () => {
  fc.assert(fc.property(updates, updates, updates, (first, second, third) => {
    const left = mergeUpdate(mergeUpdate(first, second), third);
    const right = mergeUpdate(first, mergeUpdate(second, third));
    expect(left).toEqual(right);
  }), { seed: SEED });
});

test('merge is idempotent', () => {
  fc.assert(fc.property(updates, (update) => {
    expect(mergeUpdate(update, { ...update })).toBe(update);
  }), { seed: SEED });
});
