import {
  EMPTY_RELEASE_STATE, OutOfService, type ReleaseChange, ReleaseState, VMId,
} from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  applyRecord, chooseNewerState, diffReleaseNote, formatDifferences, RETAINED_SEQUENCES, validateChange,
} from '../index.js';
import arbitraryChange from './arbitraryChange.js';
import buildNote from './buildNote.js';
import buildRecord from './buildRecord.js';
import buildService from './buildService.js';
import flattenState from './flattenState.js';
import NaiveRelease from './NaiveRelease.js';
import describeRefusal from './describeRefusal.js';
import unwrap from './unwrap.js';

function fold(changes: readonly ReleaseChange[], start = EMPTY_RELEASE_STATE): ReleaseState {
  return changes.reduce(
    (state, change) => unwrap(applyRecord(state, buildRecord(state.sequence + 1, change))),
    start,
  );
}

const added = fold([buildNote({ add: [buildService('proofs'), buildService('slots')] })]);
const takeOut: ReleaseChange = { kind: 'take-out', subject: OutOfService.parse({ kind: 'vm', vm: 'vm-1' }) };

test('adding an existing service is refused', () => {
  const note = buildNote({ writtenAgainst: 1, add: [buildService('proofs'), buildService('slots'), buildService('new')] });
  expect(describeRefusal(validateChange(added, note))).toBe(
    'release-invalid: service proofs cannot be added, it exists; service slots cannot be added, it exists',
  );
});

test('changing or withdrawing a missing service is refused', () => {
  const note = buildNote({ writtenAgainst: 1, change: [buildService('a')], withdraw: ['b'] });
  expect(describeRefusal(validateChange(added, note))).toBe(
    'release-invalid: service a cannot be changed, it does not exist; service b cannot be withdrawn, it does not exist',
  );
});

test('duplicate names and a future sequence are refused', () => {
  const teamWeights = [{ team: 'makers', weight: 1 }, { team: 'makers', weight: 2 }];
  const note = buildNote({
    writtenAgainst: 2, change: [buildService('proofs')], withdraw: ['proofs'], teamWeights,
  });
  expect(describeRefusal(validateChange(added, note))).toBe(
    'release-invalid: service proofs is named twice; team makers is named twice; the note is written against 2, the latest change is 1',
  );
});

test('all conflicts are listed', () => {
  const state = fold([
    buildNote({ writtenAgainst: 1, withdraw: ['slots'], teamWeights: [{ team: 'makers', weight: 2 }] }),
    buildNote({ writtenAgainst: 1, change: [buildService('proofs', 5)] }),
  ], added);
  const note = buildNote({
    writtenAgainst: 1, add: [buildService('new')], change: [buildService('proofs'), buildService('slots')], teamWeights: [{ team: 'makers', weight: 3 }],
  });
  expect(describeRefusal(validateChange(state, note))).toBe(
    'release-conflict: service proofs was touched by change 3; service slots was touched by change 2; team makers was touched by change 2',
  );
});

test('racing additions of one service conflict', () => {
  expect(describeRefusal(validateChange(added, buildNote({ add: [buildService('proofs')] }))))
    .toBe('release-conflict: service proofs was touched by change 1');
});

test('take-out and bring-back are idempotent', () => {
  const twice = fold([takeOut, takeOut]);
  expect(twice.vmsOut).toEqual(['vm-1']);
  expect(unwrap(validateChange(twice, takeOut))).toBe(takeOut);
  const back = fold([{ ...takeOut, kind: 'bring-back' }, { ...takeOut, kind: 'bring-back' }], twice);
  expect(back).toEqual({ ...EMPTY_RELEASE_STATE, sequence: 4 });
});

test('an old record is ignored and a gap is refused', () => {
  expect(unwrap(applyRecord(added, buildRecord(1, takeOut)))).toBe(added);
  expect(describeRefusal(applyRecord(added, buildRecord(3, takeOut))))
    .toBe('message-invalid: change 3 does not follow change 1');
});

test('old withdrawals are dropped and too old notes refused', () => {
  const withdrawn = fold([buildNote({ writtenAgainst: 1, withdraw: ['slots'] })], added);
  const late = ReleaseState.parse({ ...withdrawn, sequence: RETAINED_SEQUENCES });
  const before = fold([takeOut], late);
  const after = fold([takeOut], before);
  expect([before.withdrawn.length, after.withdrawn.length]).toEqual([1, 0]);
  const note = buildNote({ writtenAgainst: 1, add: [buildService('slots')] });
  expect(describeRefusal(validateChange(before, note))).toBe('release-conflict: service slots was touched by change 2');
  expect(describeRefusal(validateChange(after, note))).toBe(
    'release-conflict: the note is written against 1, changes are compared back to 2 only',
  );
});

test('choosing the newer state never goes back', () => {
  const newer = fold([takeOut], added);
  expect(chooseNewerState(added, newer)).toBe(newer);
  expect(chooseNewerState(newer, added)).toBe(newer);
  expect(chooseNewerState(newer, { ...newer, vmsOut: [VMId.parse('vm-2')] })).toBe(newer);
});

test('differences of a note are formatted', () => {
  const change = { ...buildService('proofs', 3), version: '2' };
  const { note } = buildNote({
    add: [buildService('new', 2)], change: [{ ...change, limits: { ...change.limits, coldConcurrency: 4 } }, buildService('slots')], withdraw: ['slots'], teamWeights: [{ team: 'makers', weight: 2 }],
  });
  expect(formatDifferences(diffReleaseNote(added, note)).split('\n')).toEqual([
    '+ service new (model, team engraving, version 1, 2 replicas of 4 VMs)',
    '~ service proofs replicas: 1 -> 3',
    '~ service proofs version: "1" -> "2"',
    '~ service proofs limits.coldConcurrency: 2 -> 4',
    '- service slots',
    '~ team makers weight: 1 -> 2',
  ]);
});

test('a note in force has no differences', () => {
  const { note } = buildNote({ add: [buildService('proofs')], withdraw: ['gone'] });
  expect(formatDifferences(diffReleaseNote(added, note))).toBe('no differences');
});

test('differential: equals a replay of the whole log', () => {
  const counts = { accepted: 0, 'release-invalid': 0, 'release-conflict': 0 };
  fc.assert(fc.property(fc.array(arbitraryChange, { maxLength: 30, size: 'max' }), (changes) => {
    const naive = new NaiveRelease();
    changes.reduce((state, make) => {
      const change = make(state);
      const before = structuredClone(state);
      const result = validateChange(state, change);
      const expected = naive.publish(change);
      counts[expected] += 1;
      expect(result.match(() => 'accepted', ({ kind }) => kind)).toBe(expected);
      const next = result.isOk() ? fold([change], state) : state;
      expect(state).toEqual(before);
      expect(next.sequence).toBe(naive.log.length);
      expect(flattenState(next)).toEqual(naive.replay());
      return next;
    }, EMPTY_RELEASE_STATE);
  }), { seed: 3, numRuns: 400 });
  expect(Math.min(...Object.values(counts))).toBeGreaterThan(400);
});

test('any order of delivery gives the same state', () => {
  const log = fc.array(arbitraryChange, { minLength: 1, maxLength: 15 });
  const deliveries = fc.array(fc.nat(20), { maxLength: 60 });
  fc.assert(fc.property(log, deliveries, (changes, order) => {
    const naive = new NaiveRelease();
    changes.reduce((state, make) => {
      const change = make(state);
      return naive.publish(change) === 'accepted' ? fold([change], state) : state;
    }, EMPTY_RELEASE_STATE);
    const records = naive.log.map((change, index) => buildRecord(index + 1, change));
    order.reduce((state, index) => {
      const record = records[index];
      const next = record === undefined ? state : applyRecord(state, record).unwrapOr(state);
      expect(next.sequence).toBeGreaterThanOrEqual(state.sequence);
      expect(flattenState(next)).toEqual(naive.replay(next.sequence));
      return next;
    }, EMPTY_RELEASE_STATE);
  }), { seed: 4, numRuns: 300 });
});
