import {
  mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  EMPTY_RELEASE_STATE, ReleaseNote, ReleaseState, ServiceDefinition, ServingError, StatusDocument, toProblem,
} from '@dandelionlane/core';
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { EXIT_CODES, runCommandLine } from '../index.js';
import VERSION from '../lib/VERSION.js';
import FakeEntry from './FakeEntry.js';
import FakeTerminal from './FakeTerminal.js';

const service = ServiceDefinition.parse({
  kind: 'model', service: 'proofs', team: 'makers', replicas: 2, version: '7', model: 'm', vmsPerReplica: 4, acceleratorsPerVM: 8,
});
const release = ReleaseState.parse({
  ...EMPTY_RELEASE_STATE, sequence: 4, services: [{ definition: service, changedAt: 3 }], vmsOut: ['vm-9'], teamWeights: [{ team: 'makers', weight: 2, changedAt: 1 }],
});

function buildStatus(sequences: readonly number[], states: readonly string[] = []) {
  return StatusDocument.parse({
    sequence: Math.max(...sequences),
    storeReachable: true,
    entries: sequences.map((sequenceInForce, index) => ({
      entry: `entry-${index}`, availabilityZone: 'zone-a', state: states[index] ?? 'alive', sequenceInForce,
    })),
    services: [{
      service: 'proofs',
      replicasWanted: 2,
      replicasServing: 1,
      replicas: [
        {
          replica: 'proofs-1', state: 'serving', version: '7', vms: ['vm-1', 'vm-2'],
        },
        {
          replica: 'proofs-2', state: 'loading', version: '7', vms: ['vm-3', 'vm-4'],
        },
      ],
    }],
    availabilityZonesOut: ['zone-b'],
    vmsOut: [],
  });
}

let directory: string;
let entry: FakeEntry;
let terminal: FakeTerminal;

beforeEach(async () => {
  directory = await mkdtemp(join(tmpdir(), 'command-line-'));
  entry = await new FakeEntry().listen();
  terminal = new FakeTerminal();
  entry.handlers.set('GET /admin/v1/release', () => ({ status: 200, body: { state: release } }));
  entry.handlers.set('POST /admin/v1/changes', () => ({ status: 201, body: { sequence: 5 } }));
});

afterEach(async () => {
  await entry.close();
  await rm(directory, { recursive: true });
});

async function writeText(name: string, text: string): Promise<string> {
  const file = join(directory, name);
  await writeFile(file, text);
  return file;
}

function run(...commandArguments: readonly string[]) {
  return runCommandLine(terminal, ['node', 'dandelionlane', ...commandArguments]);
}

function runWithEntry(...commandArguments: readonly string[]) {
  return run(...commandArguments, '--entry', entry.address);
}

function refuseChanges(kind: ServingError['kind'], detail: string) {
  const problem = toProblem(new ServingError(detail, { kind }));
  entry.handlers.set('POST /admin/v1/changes', () => ({ status: problem.status, body: problem }));
}

test('publish with writtenAgainst', async () => {
  const file = await writeText('note.jsonc', '{ "writtenAgainst": 3, "withdraw": ["proofs"], } // last');
  const tokenFile = await writeText('token', 'secret\n');
  expect(await runWithEntry('publish', file, '--token-file', tokenFile)).toBe(EXIT_CODES.done);
  const note = ReleaseNote.parse({ writtenAgainst: 3, withdraw: ['proofs'] });
  expect(entry.requests).toEqual([{
    call: 'POST /admin/v1/changes', token: 'Bearer secret', body: { change: { kind: 'note', note } },
  }]);
  expect(terminal.lines).toEqual(['accepted as change 5']);
});

test('publish fills in writtenAgainst', async () => {
  const file = await writeText('note.jsonc', '{ "withdraw": ["proofs"] }');
  expect(await runWithEntry('publish', '--json', file)).toBe(EXIT_CODES.done);
  expect(entry.requests.map(({ call }) => call)).toEqual(['GET /admin/v1/release', 'POST /admin/v1/changes']);
  expect(entry.requests[1]?.body).toMatchObject({ change: { note: { writtenAgainst: 4 } } });
  expect(terminal.errors.join()).toContain('taking change 4');
  expect(terminal.lines).toEqual(['{"sequence":5,"isInForce":false}']);
});

test('publish lists the conflicts of a refused note', async () => {
  refuseChanges('release-conflict', 'service proofs was touched by change 4; service slots was touched by change 5');
  const file = await writeText('note.jsonc', '{ "writtenAgainst": 3, "withdraw": ["proofs", "slots"] }');
  expect(await runWithEntry('publish', file)).toBe(EXIT_CODES.refused);
  expect(terminal.errors).toEqual([[
    'refused: Release note conflicts (release-conflict)',
    '  service proofs was touched by change 4',
    '  service slots was touched by change 5',
  ].join('\n')]);
});

test('lost answer leaves the outcome of publish unknown', async () => {
  entry.handlers.set('POST /admin/v1/changes', () => 'break');
  const otherEntry = await new FakeEntry().listen();
  const file = await writeText('note.jsonc', '{ "writtenAgainst": 3, "withdraw": ["proofs"] }');
  expect(await runWithEntry('publish', file, '--entry', otherEntry.address)).toBe(EXIT_CODES.outcomeUnknown);
  expect(terminal.errors[0]).toMatch(/^outcome unknown/);
  expect(terminal.errors[0]).toContain('keep "writtenAgainst": 3');
  expect([...entry.requests, ...otherEntry.requests]).toHaveLength(1);
  await otherEntry.close();
});

test('unknown outcome in the store', async () => {
  refuseChanges('store-outcome-unknown', 'the answer was lost');
  expect(await runWithEntry('take-out', 'vm', 'vm-1')).toBe(EXIT_CODES.outcomeUnknown);
  expect(terminal.errors[0]).toContain('repeat it if in doubt');
});

test('answer without a problem document leaves the outcome unknown', async () => {
  entry.handlers.set('POST /admin/v1/changes', () => ({ status: 500, body: 'oops' }));
  expect(await runWithEntry('take-out', 'vm', 'vm-1')).toBe(EXIT_CODES.outcomeUnknown);
});

test('failover to the next entry if the change was not sent or not run', async () => {
  const gone = await new FakeEntry().listen();
  const leaving = await new FakeEntry().listen();
  const problem = toProblem(new ServingError('leaving', { kind: 'entry-leaving' }));
  leaving.handlers.set('POST /admin/v1/changes', () => ({ status: problem.status, body: problem }));
  await gone.close();
  const settings = await writeText(
    'settings.jsonc',
    JSON.stringify({ entries: ['127.0.0.1:1', leaving.address, entry.address] }),
  );
  expect(await run('take-out', 'zone', 'zone-a', '--settings', settings)).toBe(EXIT_CODES.done);
  expect([leaving.requests.length, entry.requests.length]).toEqual([1, 1]);
  expect(entry.requests[0]?.body).toEqual({
    change: { kind: 'take-out', subject: { kind: 'availability-zone', availabilityZone: 'zone-a' } },
  });
  await leaving.close();
});

test('no entry reachable', async () => {
  expect(await run('take-out', 'vm', 'vm-1', '--entry', '127.0.0.1:1')).toBe(EXIT_CODES.unreachable);
  expect(await run('status', '--entry', '127.0.0.1:1')).toBe(EXIT_CODES.unreachable);
});

test('wait until in force, ignoring dead and leaving entries', async () => {
  const statuses = [
    buildStatus([4, 4, 4, 4]), buildStatus([5, 4, 4, 4]), buildStatus([5, 5, 4, 4], ['alive', 'suspect', 'dead', 'leaving']),
  ];
  entry.handlers.set('GET /admin/v1/status', () => ({ status: 200, body: statuses.shift() }));
  expect(await runWithEntry('bring-back', 'vm', '--wait', '1e3')).toBe(EXIT_CODES.done);
  expect(entry.requests[0]?.body).toEqual({ change: { kind: 'bring-back', subject: { kind: 'vm', vm: '1e3' } } });
  expect(terminal.lines).toEqual(['change 5 is in force at every entry']);
  expect(statuses).toEqual([]);
});

test('wait timeout', async () => {
  entry.handlers.set('GET /admin/v1/status', () => ({ status: 200, body: buildStatus([5, 4]) }));
  expect(await runWithEntry('take-out', 'vm', 'vm-1', '--wait', '--timeout', '3')).toBe(EXIT_CODES.waitTimeout);
  expect(terminal.errors).toEqual([
    'change 5 is accepted, but not in force everywhere after 3 s; entries behind: entry-1 (at 4)',
  ]);
  expect(terminal.clock.monotonicMilliseconds()).toBe(3_000);
});

test('show', async () => {
  expect(await runWithEntry('show')).toBe(EXIT_CODES.done);
  expect(terminal.lines[0]?.split('\n')).toEqual([
    'change 4',
    'out of service: vm vm-9',
    'SERVICE  KIND   TEAM    VERSION  REPLICAS  VMS EACH  CHANGED AT',
    'proofs   model  makers  7        2         4         3',
    'TEAM    WEIGHT',
    'makers  2',
  ]);
});

test('status as text and JSON', async () => {
  const status = buildStatus([5, 4]);
  entry.handlers.set('GET /admin/v1/status', () => ({ status: 200, body: status }));
  expect(await runWithEntry('status')).toBe(EXIT_CODES.done);
  expect(await runWithEntry('status', '--json')).toBe(EXIT_CODES.done);
  expect(terminal.lines[0]?.split('\n')).toEqual([
    'change 5, table service reachable',
    'out of service: zone zone-b',
    'ENTRY    ZONE    STATE  IN FORCE',
    'entry-0  zone-a  alive  5',
    'entry-1  zone-a  alive  4',
    'SERVICE  WANTED  SERVING',
    'proofs   2       1',
    'SERVICE  REPLICA   STATE    VERSION  VMS',
    'proofs   proofs-2  loading  7        vm-3,vm-4',
  ]);
  expect(JSON.parse(terminal.lines[1] ?? '')).toEqual(status);
});

test('diff prints the differences and the refusal', async () => {
  const changed = { ...service, replicas: 3 };
  const file = await writeText('note.jsonc', JSON.stringify({ writtenAgainst: 2, change: [changed] }));
  expect(await runWithEntry('diff', file)).toBe(EXIT_CODES.done);
  expect(terminal.lines).toEqual([
    'compared with change 4',
    '~ service proofs replicas: 2 -> 3',
    'publishing would be refused now, release-conflict: service proofs was touched by change 3',
  ]);
});

test('check', async () => {
  const good = await writeText('good.jsonc', '{ "withdraw": ["proofs"] }');
  const bad = await writeText('bad.jsonc', '{ "withdraw": ["proofs", "proofs"] }');
  expect(await run('check', good)).toBe(EXIT_CODES.done);
  expect(await run('check', bad)).toBe(EXIT_CODES.refused);
  expect(terminal.errors).toEqual([`${bad}: service proofs is named twice`]);
});

test('usage errors', async () => {
  const settings = await writeText('settings.jsonc', '{ "entries": ["nowhere"] }');
  const token = await writeText('token', 'two\ntokens');
  expect(await Promise.all([
    run('show'),
    run('show', '--entry', 'nowhere'),
    run('show', '--settings', settings),
    runWithEntry('show', '--token-file', token),
    runWithEntry('show', 'more'),
    runWithEntry('check', join(directory, 'missing')),
    runWithEntry('take-out', 'region', 'a'),
    runWithEntry('take-out', 'vm', '../a'),
    runWithEntry('take-out', 'vm', 'a', '--timeout', 'soon'),
  ])).toEqual(Array.from({ length: 9 }, () => EXIT_CODES.usage));
  expect(entry.requests).toEqual([]);
});

test.each([['show', '--bogus'], ['publish'], ['bogus'], []])('parser exits on wrong arguments: %s %s', async (...words) => {
  vi.spyOn(console, 'error').mockReturnValue();
  vi.spyOn(process, 'exit').mockImplementation((code) => {
    throw new Error(`exit ${String(code)}`);
  });
  const before = process.listenerCount('exit');
  await expect(run(...words.filter((word) => word !== undefined))).rejects.toThrow('exit 1');
  expect(process.listenerCount('exit')).toBe(before + 1);
  process.emit('exit', 1);
  expect(process.exitCode).toBe(EXIT_CODES.usage);
  process.exitCode = undefined;
  vi.restoreAllMocks();
});

test('help and version', async () => {
  const log = vi.spyOn(console, 'log').mockReturnValue();
  expect(await run('--help')).toBe(EXIT_CODES.done);
  expect(await run('--version')).toBe(EXIT_CODES.done);
  expect(log.mock.calls.flat().join('\n')).toMatch(/take-out[^]*dandelionlane, 0\.1\.0/);
  vi.restoreAllMocks();
  const manifest = JSON.parse(await readFile(new URL('../../package.json', import.meta.url), 'utf8')) as unknown;
  expect(manifest).toMatchObject({ version: VERSION });
});
