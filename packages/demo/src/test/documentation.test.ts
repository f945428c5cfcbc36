/* eslint-disable n/no-sync -- pages are read once, before the tests */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect, test } from 'vitest';
import { ControllerSettings } from '@dandelionlane/controller';
import { ERROR_ANSWERS, ErrorKind, HEADERS } from '@dandelionlane/core';
import { EntrySettings } from '@dandelionlane/entry';
import { readSettings } from '@dandelionlane/settings';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const IGNORED_DIRECTORIES: ReadonlySet<string> = new Set(['node_modules', 'dist', '.git', 'coverage', 'tmp']);
const METRIC_CALL = /metrics\.(?:count|gauge|timing)\(\s*'([^']+)'/g;
const LOG_CALL = /(?:log|Log)\.(?:debug|info|warn|error)\(\s*'([^']+)'/g;
const METRIC_ROW = /^\| `dandelionlane\.([^`]+)` \|/gm;
const LOG_ROW = /^\| `([A-Z][^`]*\.)` \|/gm;
const MARKDOWN_LINK = /\]\(([^()\s]+)\)/g;
const ABSOLUTE_LINK = /^(?:[a-z]+:|#)/;

/** All files below a directory that end in one of the endings, as absolute paths. */
function listFiles(directory: string, ending: string): readonly string[] {
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) {
      return IGNORED_DIRECTORIES.has(entry.name) ? [] : listFiles(path, ending);
    }
    return entry.name.endsWith(ending) ? [path] : [];
  });
}

function readPage(path: string): string {
  return readFileSync(join(ROOT, path), 'utf8');
}

/** Names that a pattern captures in the sources of all packages, without their tests. */
function findInSources(pattern: RegExp): readonly string[] {
  const names = listFiles(join(ROOT, 'packages'), '.ts')
    .filter((path) => path.includes('/src/') && !path.includes('/src/test/'))
    .flatMap((path) => [...readFileSync(path, 'utf8').matchAll(pattern)])
    .map(([, name]) => String(name));
  return [...new Set(names)].sort();
}

/** First cells of the rows of a page that a pattern captures. */
function findRows(path: string, pattern: RegExp): readonly string[] {
  return [...readPage(path).matchAll(pattern)].map(([, name]) => String(name)).sort();
}

/** The part of a page under one heading, up to the next heading of the same level. */
function readSection(page: string, heading: string): string {
  const [, after = ''] = page.split(`\n${heading}\n`);
  return after.split('\n## ')[0] ?? '';
}

/** Dotted names of all keys of an object schema, defaults and refinements taken off. */
function listKeys(schema: unknown, prefix = ''): readonly string[] {
  const { def } = schema as { readonly def: { readonly innerType?: unknown; readonly shape?: object } };
  if (def.innerType !== undefined) {
    return listKeys(def.innerType, prefix);
  }
  if (def.shape === undefined) {
    return [prefix.slice(0, -1)];
  }
  return Object.entries(def.shape).flatMap(([key, value]) => listKeys(value, `${prefix}${key}.`));
}

function expectSettingsDescribed(schema: unknown, heading: string): void {
  const keys = listKeys(schema);
  const section = readSection(readPage('docs/configuration.md'), heading);
  expect(keys.length).toBeGreaterThan(10);
  expect(keys.filter((key) => !section.includes(`| \`${key}\` |`))).toEqual([]);
}

function findBrokenLinks(path: string): readonly string[] {
  return [...readFileSync(path, 'utf8').matchAll(MARKDOWN_LINK)]
    .map(([, target]) => String(target))
    .filter((target) => !ABSOLUTE_LINK.test(target))
    .filter((target) => !existsSync(resolve(dirname(path), target.split('#')[0] ?? '')))
    .map((target) => `${path.slice(ROOT.length)}: ${target}`);
}

test('every error kind is described as it is answered', () => {
  const page = readPage('docs/callers.md');
  const missing = ErrorKind.options.filter((kind) => {
    const { status, outcome, retryAfterSeconds } = ERROR_ANSWERS[kind];
    const retryAfter = retryAfterSeconds === undefined ? 'none' : String(retryAfterSeconds);
    return !page.includes(`| \`${kind}\` | ${status} | ${outcome} | ${retryAfter} |`);
  });
  expect(missing).toEqual([]);
});

test('every header is described', () => {
  const page = readPage('docs/callers.md').toLowerCase();
  expect(Object.values(HEADERS).filter((name) => !page.includes(`\`${name}\``))).toEqual([]);
});

test('every entry setting is described', () => {
  expectSettingsDescribed(EntrySettings, '## Settings of `dandelionlane-entry`');
});

test('every controller setting is described', () => {
  expectSettingsDescribed(ControllerSettings, '## Settings of `dandelionlane-controller`');
});

test('the metrics described are those in the code', () => {
  const names = findInSources(METRIC_CALL);
  expect(names.length).toBeGreaterThan(0);
  expect(findRows('docs/metrics.md', METRIC_ROW)).toEqual(names);
});

test('the log lines described are those in the code', () => {
  const messages = findInSources(LOG_CALL);
  expect(messages.length).toBeGreaterThan(0);
  expect(findRows('docs/metrics.md', LOG_ROW)).toEqual(messages);
});

test('example entry settings are valid', () => {
  expect(readSettings(join(ROOT, 'examples/entry.jsonc'), EntrySettings).isOk()).toBe(true);
});

test('example controller settings are valid', () => {
  expect(readSettings(join(ROOT, 'examples/controller.jsonc'), ControllerSettings).isOk()).toBe(true);
});

test('relative links resolve', () => {
  expect(listFiles(ROOT, '.md').flatMap(findBrokenLinks)).toEqual([]);
});
