import { ServingError } from '@dandelionlane/core';
import fc from 'fast-check';
import type { Result } from 'neverthrow';
import { expect, test } from 'vitest';
import { z } from 'zod';
import { parseSettings, readSettings } from '../index.js';

const Schema = z.strictObject({
  port: z.number().int().min(1),
  zone: z.string().default('zone-a'),
  peers: z.array(z.strictObject({ host: z.string() })).default([]),
});

function parse(text: string) {
  return parseSettings(text, 'entry.jsonc', Schema, 'settings-invalid');
}

function unwrap<T>(result: Result<T, ServingError>): T {
  return result.match((value) => value, (error) => {
    throw new Error(error.message);
  });
}

function unwrapError(result: Result<unknown, ServingError>): ServingError {
  return result.match((value) => {
    throw new Error(`expected an error, not ${JSON.stringify(value)}`);
  }, (error) => error);
}

function listIssues(text: string) {
  return unwrapError(parse(text)).message.split('\n');
}

test('comments, trailing commas and a byte order mark are accepted', () => {
  const text = '\uFEFF{ // port\n "port": 80, /* peers */ "peers": [{ "host": "a", }, ],\n}';
  expect(unwrap(parse(text))).toEqual({ port: 80, zone: 'zone-a', peers: [{ host: 'a' }] });
});

test('all schema issues are reported', () => {
  expect(listIssues('{\n  "port": "80",\n  "peers": [{ "host": "a" }, { "hots": 1 }]\n}')).toEqual([
    'entry.jsonc:2:11 port: expected number, received string',
    'entry.jsonc:3:30 peers.1.host: expected string, received undefined',
    'entry.jsonc:3:32 peers.1.hots: expected no such key',
  ]);
});

test('all syntax issues are reported', () => {
  expect(listIssues('{\n  "port": 80\n  "zone" "b",\n  "peers": 7\n}')).toEqual([
    'entry.jsonc:3:3 (root): expected a comma',
    'entry.jsonc:3:10 (root): expected a colon after the key',
    'entry.jsonc:4:12 peers: expected array, received number',
  ]);
});

test('duplicate key', () => {
  expect(listIssues('{ "port": 1, "peers": [{ "host": "a",\r\n"host": "b" }] }')).toEqual([
    'entry.jsonc:2:1 peers.0.host: expected each key once',
  ]);
});

test('__proto__ is reported as an unknown key', () => {
  expect(listIssues('{ "port": 1, "__proto__": { "zone": 1 } }')).toEqual([
    'entry.jsonc:1:14 __proto__: expected no such key',
  ]);
});

test('deep nesting', () => {
  expect(listIssues('['.repeat(200_000))).toEqual([
    'entry.jsonc:1:65 (root): expected at most 64 levels of nesting',
  ]);
});

test('deep nesting after an unterminated string', () => {
  expect(listIssues(`"\\\n" ${'['.repeat(200_000)}`)).toEqual([
    'entry.jsonc:2:67 (root): expected at most 64 levels of nesting',
  ]);
});

test('text that ends in an escape', () => {
  expect(listIssues('"\\')).toContain('entry.jsonc:1:1 (root): expected the closing double quote');
});

test('unterminated long string', () => {
  expect(listIssues(`"${'a'.repeat(20_000_000)}`)).toEqual([
    'entry.jsonc:1:1 (root): expected the closing double quote',
    'entry.jsonc:1:1 (root): expected object, received string',
  ]);
});

test('empty text', () => {
  expect(listIssues('')).toEqual(['entry.jsonc:1:1 (root): expected a value']);
});

test('the error has the given kind', () => {
  expect(unwrapError(parseSettings('{}', 'note.jsonc', Schema, 'release-invalid')).kind).toBe('release-invalid');
});

test('missing file', () => {
  const { kind, message } = unwrapError(readSettings('no/such/file.jsonc', Schema));
  expect(kind).toBe('settings-invalid');
  expect(message).toMatch(/^no\/such\/file\.jsonc: cannot be read, .*ENOENT/);
});

test('schema that throws', () => {
  const schema = z.unknown().transform(() => {
    throw new Error('broken');
  });
  expect(unwrapError(parseSettings('1', 'a', schema, 'settings-invalid')).kind).toBe('internal');
});

const token = fc.constantFrom('{', '}', '[', ']', ':', ',', '"port"', '"a', '\\u12', '/*', '//', '\n', '1e', '-', 'nul', '"__proto__"');

test('fuzz: never throws and each issue has a line', () => {
  const texts = fc.oneof(
    fc.string({ unit: 'binary' }),
    fc.array(token, { maxLength: 80 }).map((parts) => parts.join('')),
    fc.json().map((json) => json.slice(0, -1)),
  );
  fc.assert(fc.property(texts, (text) => {
    const result = parse(text);
    if (result.isErr()) {
      result.error.message.split('\n').forEach((line) => expect(line).toMatch(/^entry\.jsonc:\d+:\d+ .+: .+/));
    }
  }), { seed: 1, numRuns: 2_000 });
});

test('fuzz: valid settings round-trip', () => {
  const settings = fc.record({
    port: fc.integer({ min: 1 }),
    zone: fc.string({ unit: 'binary' }),
    peers: fc.array(fc.record({ host: fc.string() })),
  });
  fc.assert(fc.property(settings, (value) => {
    expect(unwrap(parse(JSON.stringify(value, null, 2)))).toEqual(value);
  }), { seed: 2, numRuns: 500 });
});
