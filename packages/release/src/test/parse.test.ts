import { readFile } from 'node:fs/promises';
import {
  CallPattern, EMPTY_RELEASE_STATE, ReleaseNote, ReleaseState, ServiceDefinition, ServiceLimits,
} from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { parseReleaseNote, parseReleaseNoteDraft, validateChange } from '../index.js';
import arbitraryChange from './arbitraryChange.js';
import describeRefusal from './describeRefusal.js';
import unwrap from './unwrap.js';

test('issues are reported with line and path', () => {
  const text = '{\n  "writtenAgainst": 1,\n  "add": [{ "kind": "model", "service": "proofs" }],\n  "witdraw": []\n}';
  expect(describeRefusal(parseReleaseNote(text, 'note.jsonc')).split('\n')).toEqual([
    'release-invalid: note.jsonc:3:11 add.0.team: expected string, received undefined',
    'note.jsonc:3:11 add.0.replicas: expected number, received undefined',
    'note.jsonc:3:11 add.0.version: expected string, received undefined',
    'note.jsonc:3:11 add.0.model: expected string, received undefined',
    'note.jsonc:3:11 add.0.vmsPerReplica: expected number, received undefined',
    'note.jsonc:3:11 add.0.acceleratorsPerVM: expected number, received undefined',
    'note.jsonc:4:3 witdraw: expected no such key',
  ]);
});

test('only a draft may omit writtenAgainst', () => {
  expect(unwrap(parseReleaseNoteDraft('{}', 'note.jsonc')).writtenAgainst).toBeUndefined();
  expect(describeRefusal(parseReleaseNote('{}', 'note.jsonc')))
    .toBe('release-invalid: note.jsonc:1:1 writtenAgainst: expected number, received undefined');
});

test('fuzz: never throws', () => {
  const texts = fc.oneof(fc.string({ unit: 'binary' }), fc.json(), arbitraryChange.map((make) => JSON.stringify(make(ReleaseState.parse({ ...EMPTY_RELEASE_STATE, sequence: 3 }))).slice(8, -3)));
  fc.assert(fc.property(texts, (text) => {
    parseReleaseNote(text, 'note.jsonc').mapErr(({ kind }) => expect(kind).toBe('release-invalid'));
  }), { seed: 5, numRuns: 1_000 });
});

test('fuzz: valid notes round-trip', () => {
  fc.assert(fc.property(arbitraryChange, (make) => {
    const change = make(ReleaseState.parse({ ...EMPTY_RELEASE_STATE, sequence: 3 }));
    if (change.kind === 'note') {
      expect(unwrap(parseReleaseNote(JSON.stringify(change.note, null, 1), 'note.jsonc'))).toEqual(change.note);
    }
  }), { seed: 6, numRuns: 500 });
});

test.each(['engraving', 'permits'])('example: %s', async (name) => {
  const text = await readFile(new URL(`../../../../examples/${name}.jsonc`, import.meta.url), 'utf8');
  const draft = unwrap(parseReleaseNoteDraft(text, `${name}.jsonc`));
  const change = { kind: 'note', note: { ...draft, writtenAgainst: EMPTY_RELEASE_STATE.sequence } } as const;
  expect(unwrap(validateChange(EMPTY_RELEASE_STATE, change))).toBe(change);
  expect(draft.add).toHaveLength(3);
});

test('the page on release notes names every field', async () => {
  const page = await readFile(new URL('../../../../docs/release-notes.md', import.meta.url), 'utf8');
  const fields = [ReleaseNote, ...ServiceDefinition.options, ServiceLimits, CallPattern]
    .flatMap(({ shape }) => Object.keys(shape));
  expect(fields.filter((field) => !page.includes(`| \`${field}\` |`))).toEqual([]);
});
