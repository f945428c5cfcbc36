import fc from 'fast-check';
import { expect, test } from 'vitest';
import { RowVersion, type TableRow } from '@dandelionlane/core';
import RowCache from '../lib/feed/RowCache.js';
import type RowHandler from '../lib/feed/RowHandler.js';

const PARAMETERS = { seed: 20_261_204, numRuns: 300 };

function row(key: string, version: number, value: unknown = version): TableRow {
  return {
    table: 't', key, version: RowVersion.parse(version), value,
  };
}

/** Records the rows as a consumer of the cache would. */
class Recorder implements RowHandler {
  readonly rows = new Map<string, TableRow>();

  hasDecreased = false;

  handleSnapshot(rows: readonly TableRow[]): void {
    this.rows.clear();
    rows.forEach((each) => this.rows.set(each.key, each));
  }

  handleChanges(rows: readonly TableRow[]): void {
    rows.forEach((each) => {
      this.hasDecreased ||= each.version < (this.rows.get(each.key)?.version ?? 0);
      this.rows.set(each.key, each);
    });
  }

  // eslint-disable-next-line class-methods-use-this -- nothing to record
  handleStoreRecovered(): void {}

  // eslint-disable-next-line class-methods-use-this -- nothing to record
  handleStoreRestored(): void {}
}

test('rows of an older source are ignored', () => {
  const recorder = new Recorder();
  const cache = new RowCache(recorder);
  cache.handleChanges([row('a', 5)]);
  cache.handleChanges([row('a', 3)]);
  cache.handleSnapshot([row('a', 2)], RowVersion.parse(4));
  expect(recorder.rows.get('a')?.version).toBe(5);
});

test('an older source does not restore a deleted row', () => {
  const recorder = new Recorder();
  const cache = new RowCache(recorder);
  cache.handleChanges([row('a', 1)]);
  cache.handleChanges([row('a', 4, null)]);
  cache.handleSnapshot([row('a', 1)], RowVersion.parse(3));
  expect(recorder.rows.get('a')?.value ?? null).toBeNull();
});

test('a snapshot removes missing rows, except newer ones', () => {
  const recorder = new Recorder();
  const cache = new RowCache(recorder);
  cache.handleChanges([row('old', 1), row('new', 9)]);
  cache.handleSnapshot([], RowVersion.parse(5));
  expect([...recorder.rows.keys()]).toEqual(['new']);
});

test('versions of a row never decrease, in any order of the sources', () => {
  const change = fc.array(fc.record({ key: fc.constantFrom('a', 'b', 'c'), version: fc.integer({ min: 1, max: 30 }) }), { maxLength: 5 });
  fc.assert(fc.property(fc.array(change, { maxLength: 20 }), (changes) => {
    const recorder = new Recorder();
    const cache = new RowCache(recorder);
    changes.forEach((rows) => cache.handleChanges(rows.map(({ key, version }) => row(key, version))));
    expect(recorder.hasDecreased).toBe(false);
    const versionsOf = (key: string) => changes.flat().filter((each) => each.key === key)
      .map(({ version }) => version);
    const newest = (key: string) => Math.max(0, ...versionsOf(key));
    ['a', 'b', 'c'].forEach((key) => expect(recorder.rows.get(key)?.version ?? 0).toBe(newest(key)));
  }), PARAMETERS);
});

test('after a restoration the rows of the store replace all others, whatever their versions', () => {
  const recorder = new Recorder();
  const cache = new RowCache(recorder);
  cache.handleChanges([row('a', 8), row('b', 9)]);
  cache.handleStoreRestored();
  cache.handleChanges([row('b', 10)]);
  expect(cache.isRestoring).toBe(true);
  cache.handleSnapshot([row('a', 3)], RowVersion.parse(4));
  expect([...recorder.rows.values()]).toEqual([row('a', 3)]);
  cache.handleChanges([row('b', 5)]);
  expect(recorder.rows.get('b')?.version).toBe(5);
  expect(cache.version).toBe(5);
});
