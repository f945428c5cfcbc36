import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  expect, onTestFinished, test, vi,
} from 'vitest';
import { SeededRandom } from '@dandelionlane/core';
import SoakCaller from '../lib/callers/SoakCaller.js';
import createConfiguration from '../lib/createConfiguration.js';
import createTopology from '../lib/createTopology.js';
import type RequestKind from '../lib/journal/RequestKind.js';
import isServed from '../lib/journal/isServed.js';
import writeConfiguration from '../lib/store/writeConfiguration.js';

const ENTRIES = 3;
const GROUP_SIZE = 2;
const REQUESTS = 20;
const KINDS: readonly RequestKind[] = ['safe', 'once', 'stream'];

/** Status of a request for which there is no route. */
const UNKNOWN_PATH = 404;

/** Size of a row that the platform allows, in bytes. */
const ROW_BYTES = 65_536;

/** Time in which requests have to be served after the start, or as a configuration says, in ms. */
const TIMEOUT_MILLISECONDS = 30_000;

function registration(service: string, fields: object): object {
  return {
    service, address: '127.0.0.1:1', zone: 'zone-a', slots: 8, state: 'ready', cold_remaining_ms: 0, born: 1, ...fields,
  };
}

/** JSON nested as deeply as a row of the platform can be. */
function nested(): string {
  const levels = ROW_BYTES / 2 - 200;
  return `${'['.repeat(levels)}${']'.repeat(levels)}`;
}

const GROUP = {
  name: 'odd', epoch: Number.MAX_SAFE_INTEGER, rank: 0, state: 'open',
};

/** Fields of registrations of another writer. */
const ODD_FIELDS: readonly object[] = [
  { address: '127.0.0.1:70000' },
  { address: `127.0.0.1:${'9'.repeat(400)}` },
  { address: 'a b%\n:80' },
  { address: '' },
  { slots: 1e308 },
  { slots: Number.MAX_SAFE_INTEGER },
  { born: 1e300, state: 'draining' },
  { cold_remaining_ms: 1e300 },
  { group: GROUP },
  { group: GROUP, models: [{ name: 'm0' }] },
  { constructor: 1, toJSON: 1 },
  { zone: null },
];

/** Rows of another writer, each as its table, key and bytes. */
function createOddRows(): readonly (readonly [string, string, Buffer])[] {
  const services = ['plain', 'model'];
  const registrations = services.flatMap((service) => ODD_FIELDS.map((fields, index) => (
    [`odd-${service}-${index}`, JSON.stringify(registration(service, fields))] as const
  )));
  const deep = services.flatMap((service) => ['service', 'models', 'extra'].map((field) => {
    const text = JSON.stringify(registration(service, { [field]: 0 }));
    return [`deep-${service}-${field}`, text.replace(`"${field}":0`, `"${field}":${nested()}`)] as const;
  }));
  const anywhere = [['', '{}'], ['a\nb', '{}'], ['text', 'no JSON'], ['deep', nested()], ['null', 'null']] as const;
  return [
    ...[...registrations, ...deep].map(([key, text]) => ['servers', key, Buffer.from(text)] as const),
    ...['servers', 'op', 'entries', 'groups', 'quarantine'].flatMap((table) => (
      anywhere.map(([key, text]) => [table, key, Buffer.from(text)] as const)
    )),
  ];
}

// Guards against entries that end, lose a service or stop following the store because of odd rows.
test('entries serve and follow the store beside rows of another writer', async () => {
  const directory = await mkdtemp(join(tmpdir(), 'dandelionlane-odd-rows-'));
  const topology = await createTopology({
    seed: 1, seconds: 0, entries: ENTRIES, rate: 0, restorations: 0, directory,
  }, GROUP_SIZE);
  const {
    journal, tables, entries, workers, store,
  } = topology;
  const caller = new SoakCaller(journal, entries, new SeededRandom(1));
  onTestFinished(async () => {
    await caller.close();
    await Promise.all([...entries, ...workers].map((each) => each.close()));
    store.close();
    await rm(directory, { recursive: true, force: true });
  });
  const send = async (kind: RequestKind): Promise<boolean> => {
    await caller.send(kind);
    const last = [...journal.requests.values()].at(-1);
    return last !== undefined && isServed(last);
  };
  const waitUntilServed = (kind: RequestKind) => vi.waitFor(async () => {
    expect(await send(kind)).toBe(true);
  }, { timeout: TIMEOUT_MILLISECONDS, interval: 100 });
  for (const kind of KINDS) {
    await waitUntilServed(kind);
  }

  for (const [table, key, bytes] of createOddRows()) {
    expect(bytes.length).toBeLessThanOrEqual(ROW_BYTES);
    await tables.write(table, key, bytes);
  }
  const unserved: string[] = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    for (const kind of KINDS) {
      if (!await send(kind)) {
        unserved.push(JSON.stringify([...journal.requests.values()].at(-1)));
      }
    }
  }
  expect(unserved).toEqual([]);

  // An entry that starts now reads the rows before it has a link.
  await entries[0]?.terminate();
  await entries[0]?.start();
  const { routes, ...configuration } = createConfiguration(2, GROUP_SIZE);
  await writeConfiguration(tables, { ...configuration, routes: routes.filter(({ name }) => name !== 'safe') });
  const following = new Set<string>();
  await vi.waitFor(async () => {
    await caller.send('safe');
    const last = [...journal.requests.values()].at(-1);
    if (last?.outcome?.kind === 'answered' && last.outcome.status === UNKNOWN_PATH) {
      following.add(last.entry);
    }
    expect(following.size).toBe(ENTRIES);
  }, { timeout: TIMEOUT_MILLISECONDS, interval: 100 });
  for (const kind of ['once', 'stream'] as const) {
    await waitUntilServed(kind);
  }
  expect(journal.violations.filter(({ promise }) => promise === 'exit')).toEqual([]);
  for (const { name } of entries) {
    const log = await readFile(join(directory, `${name}.log`), 'utf8');
    expect(log.split('\n').filter((line) => /Uncaught|Unhandled|Rows cannot be sent|inside the gateway/.test(line)))
      .toEqual([]);
  }
});
