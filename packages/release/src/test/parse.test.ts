import { EMPTY_RELEASE_STATE, ReleaseState } from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { parseReleaseNote, parseReleaseNoteDraft } from '../index.js';
import anyChange from './anyChange.js';
import refusalOf from './refusalOf.js';
import unwrap from './unwrap.js';

test('fault with line and path', () => {
  const text = '{\n  "writtenAgainst": 1,\n  "add": [{ "kind": "model", "service": "proofs" }],\n  "witdraw": []\n}';
  expect(refusalOf(parseReleaseNote(text, 'note.jsonc')).split('\n')).toEqual([
    'release-invalid: note.jsonc:3:11 add.0.team: expected string, received undefined',
    'note.jsonc:3:11 add.0.replicas: expected number, received undefined',
    'note.jsonc:3:11 add.0.version: expected string, received undefined',
    'note.jsonc:3:11 add.0.model: expected string, received undefined',
    'note.jsonc:3:11 add.0.vmsPerReplica: expected number, received undefined',
    'note.jsonc:3:11 add.0.acceleratorsPerVM: expected number, received undefined',
    'note.jsonc:4:3 witdraw: expected no such key',
  ]);
});

test('only a draft may leave writtenAgainst out', () => {
  expect(unwrap(parseReleaseNoteDraft('{}', 'note.jsonc')).writtenAgainst).toBeUndefined();
  expect(refusalOf(parseReleaseNote('{}', 'note.jsonc')))
    .toBe('release-invalid: note.jsonc:1:1 writtenAgainst: expected number, received undefined');
});

test('fuzz: never throws', () => {
  const texts = fc.oneof(fc.string({ unit: 'binary' }), fc.json(), anyChange.map((make) => JSON.stringify(make(ReleaseState.parse({ ...EMPTY_RELEASE_STATE, sequence: 3 }))).slice(8, -3)));
  fc.assert(fc.property(texts, (text) => {
    parseReleaseNote(text, 'note.jsonc').mapErr(({ kind }) => expect(kind).toBe('release-invalid'));
  }), { seed: 5, numRuns: 1_000 });
});

test('fuzz: valid notes round-trip', () => {
  fc.assert(fc.property(anyChange, (make) => {
    const change = make(ReleaseState.parse({ ...EMPTY_RELEASE_STATE, sequence: 3 }));
    if (change.kind === 'note') {
      expect(unwrap(parseReleaseNote(JSON.stringify(change.note, null, 1), 'note.jsonc'))).toEqual(change.note);
    }
  }), { seed: 6, numRuns: 500 });
});
