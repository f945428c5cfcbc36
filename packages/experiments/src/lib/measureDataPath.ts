import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { ProcessGroup, programPath, type RunningProcess } from '@dandelionlane/demo';
import type DataPathPlan from './DataPathPlan.js';
import type DataPathResult from './DataPathResult.js';
import readProcessUsage from './readProcessUsage.js';
import runReaders from './runReaders.js';

const SERVICE = 'measurement';
const REGION = 'region-1';
const ZONE = 'zone-a';
const ENTRY = 'entry-1';
const MANY = 100_000;
const SETTLE_MILLISECONDS = 3_000;

async function writeEmptySettings(directory: string): Promise<string> {
  const file = join(directory, 'platform.json');
  await writeFile(file, '{}');
  return file;
}

function createDefinition(): object {
  return {
    kind: 'model',
    service: SERVICE,
    team: 'measurement',
    replicas: 1,
    vmsPerReplica: 4,
    acceleratorsPerVM: 8,
    model: 'measurement',
    version: '1',
    limits: {
      coldConcurrency: MANY,
      warmConcurrency: MANY,
      requestTimeoutMilliseconds: 600_000,
      queueTimeoutMilliseconds: 10_000,
    },
  };
}

function createPlacement(groups: readonly (readonly RunningProcess[])[]): object {
  return {
    service: SERVICE,
    replicas: groups.map((group, index) => ({
      replica: `replica-${index}`,
      service: SERVICE,
      version: '1',
      state: 'serving',
      fencing: 1,
      members: group.map((source, position) => ({
        vm: `vm-${index}-${position}`,
        address: source.addresses.address,
        availabilityZone: ZONE,
        fabricDomain: 'fabric',
      })),
      grants: [{ entry: ENTRY, cold: MANY, warm: MANY }],
    })),
  };
}

/** Writes the rows that a release and a controller would have written. */
async function writeRows(
  platformAddress: string,
  groups: readonly (readonly RunningProcess[])[],
): Promise<void> {
  const note = { writtenAgainst: 0, add: [createDefinition()] };
  await request(`http://${platformAddress}/v1/transactions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      conditions: [],
      writes: [
        { table: 'releases', key: 'head', value: { sequence: 1 } },
        {
          table: 'releases',
          key: 'change/000000000001',
          value: {
            sequence: 1, nonce: 'measurement', publishedAt: '2026-01-01T00:00:00.000Z', change: { kind: 'note', note },
          },
        },
        { table: 'placements', key: `${REGION}/${SERVICE}`, value: createPlacement(groups) },
      ],
    }),
  });
}

async function startEntry(
  processes: ProcessGroup,
  directory: string,
  platformAddress: string,
): Promise<RunningProcess> {
  const tokenFile = join(directory, 'token');
  const settings = join(directory, 'entry.jsonc');
  await writeFile(tokenFile, 'measurement-token');
  await writeFile(settings, JSON.stringify({
    entry: ENTRY,
    region: REGION,
    availabilityZone: ZONE,
    callers: { port: 0 },
    peers: { port: 0 },
    administration: { port: 0, tokenFile },
    platformAddress,
    // Log lines cost as much as they do in service; their text goes to a file.
    log: { level: 'info', format: 'text' },
    timing: { lameDuckMilliseconds: 0 },
  }));
  return processes.start(ENTRY, programPath('entry', 'dandelionlane-entry'), ['--settings', settings]);
}

/** Measures one entry between processes that play targets and processes that play callers. */
export default async function measureDataPath(
  directory: string,
  plan: DataPathPlan,
): Promise<DataPathResult> {
  const processes = new ProcessGroup(directory);
  try {
    const platform = await processes.start('platform', programPath('standin', 'dandelionlane-standin'), [
      'platform', '--settings', await writeEmptySettings(directory),
    ]);
    const platformAddress = String(platform.addresses.address);
    const program = fileURLToPath(new URL('../runTokenSource.js', import.meta.url));
    const groups: RunningProcess[][] = [];
    for (let index = 0; index < plan.peers; index += 1) {
      const group: RunningProcess[] = [];
      for (let position = 0; position < plan.membersPerReplica; position += 1) {
        group.push(await processes.start(`source-${index}-${position}`, program, [
          `vm-${index}-${position}`, `replica-${index}`, SERVICE, String(plan.tokensPerSecond),
        ]));
      }
      groups.push(group);
    }
    await writeRows(platformAddress, groups);
    const entry = await startEntry(processes, directory, platformAddress);
    await new Promise((resolve) => {
      setTimeout(resolve, SETTLE_MILLISECONDS);
    });
    const addresses = plan.route === 'entry'
      ? [String(entry.addresses.callerAddress)]
      : groups.map(([leader]) => String(leader?.addresses.address));
    const processId = entry.child.pid ?? 0;
    const before = await readProcessUsage(processId);
    const startedAt = performance.now();
    const readers = await runReaders(addresses, SERVICE, plan);
    const after = await readProcessUsage(processId);
    const elapsedSeconds = (performance.now() - startedAt) / 1_000;
    const sum = (pick: (reader: (typeof readers)[number]) => number) => (
      readers.reduce((total, reader) => total + pick(reader), 0)
    );
    return {
      plan,
      tokensPerSecond: sum(({ tokens }) => tokens) / plan.seconds,
      requestsPerSecond: sum(({ streams }) => streams) / plan.seconds,
      failures: sum(({ failures }) => failures),
      readers,
      entryCores: (after.processorSeconds - before.processorSeconds) / elapsedSeconds,
      entryIdleMebibytes: before.residentMebibytes,
      entryMebibytes: after.residentMebibytes,
    };
  } finally {
    await processes.stop();
  }
}
