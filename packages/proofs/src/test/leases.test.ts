import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { Agent } from 'undici';
import {
  Allocation, EngineOrder, ServicePlacement, TABLE_NAMES, VMId,
} from '@dandelionlane/core';
import { HTTPTableStore, readVMReport, sendEngineOrder } from '@dandelionlane/platform';
import chatCall from './chatCall.js';
import pause from './pause.js';
import RunningFleet from './RunningFleet.js';
import waitUntil from './waitUntil.js';

const REGION = 'region-1/';
const LEASE_TERM_MILLISECONDS = 6_000;
const LONG_TEST_MILLISECONDS = 90_000;
const REPAIR_MILLISECONDS = 45_000;
const agent = new Agent();
let fleet: RunningFleet;
let store: HTTPTableStore;

beforeAll(async () => {
  fleet = await RunningFleet.start(false);
  store = new HTTPTableStore(String(fleet.system.platform.addresses.address), agent);
}, LONG_TEST_MILLISECONDS);

afterAll(async () => {
  await fleet.stop();
  await agent.destroy();
}, LONG_TEST_MILLISECONDS);

async function readPlacements(): Promise<readonly ServicePlacement[]> {
  const rows = await store.scan(TABLE_NAMES.placements, REGION);
  return rows._unsafeUnwrap().map(({ value }) => ServicePlacement.parse(value));
}

/** VMs that more than one replica names. Always to be empty. */
async function sharedVMs(): Promise<readonly string[]> {
  const vms = (await readPlacements())
    .flatMap(({ replicas }) => replicas.flatMap(({ members }) => members.map(({ vm }) => vm)));
  return vms.filter((vm, index) => vms.indexOf(vm) !== index);
}

/** Members of serving replicas whose own report names another replica. */
async function disagreeing(): Promise<readonly string[]> {
  const members = (await readPlacements()).flatMap(({ replicas }) => replicas
    .filter(({ state }) => state === 'serving')
    .flatMap(({ replica, members: found }) => found.map((member) => ({ ...member, replica }))));
  const reports = await Promise.all(members.map(({ vm, address }) => readVMReport(agent, vm, address)));
  return members
    .filter(({ replica }, index) => (
      reports[index]?.map((report) => report.replica).unwrapOr(null) !== replica
    ))
    .map(({ vm }) => vm);
}

async function isRight(): Promise<boolean> {
  return await fleet.isServing() && (await disagreeing()).length === 0;
}

test('two controllers that believe in their lease', async () => {
  await waitUntil('one holds the lease', async () => (await fleet.holders()).length === 1);
  const [frozen] = await fleet.holders();
  frozen?.child.kill('SIGSTOP');
  const letters = (await readPlacements()).find(({ service }) => service === 'letters');
  const member = letters?.replicas[0]?.members[1];
  await fleet.fault(member?.vm ?? '', { kind: 'kill' });
  const seen: string[] = [];
  const watching = setInterval(() => void sharedVMs().then((vms) => seen.push(...vms)), 100);
  await pause(LEASE_TERM_MILLISECONDS + 1_000);
  await waitUntil('another holds the lease', async () => (await fleet.holders()).length === 1, REPAIR_MILLISECONDS);
  frozen?.child.kill('SIGCONT');
  await waitUntil('the lost replica is replaced', isRight, REPAIR_MILLISECONDS);
  await waitUntil('one holds the lease', async () => (await fleet.holders()).length === 1);
  clearInterval(watching);
  expect(seen).toEqual([]);
  await fleet.fault(member?.vm ?? '', { kind: 'restart' });
}, LONG_TEST_MILLISECONDS);

test('late order to an engine that ignores fencing', async () => {
  await waitUntil('all serve', isRight, REPAIR_MILLISECONDS);
  const replica = (await readPlacements()).find(({ service }) => service === 'letters')?.replicas
    .find(({ state }) => state === 'serving');
  const victim = replica?.members[1];
  const late = EngineOrder.parse({
    kind: 'load',
    fencing: 1,
    replica: 'letters.late',
    service: 'letters',
    model: 'letters',
    adapter: null,
    version: '1',
    members: [{ vm: victim?.vm, address: victim?.address }],
  });
  const sent = await sendEngineOrder(agent, victim?.address ?? '', late);
  expect(sent.isOk()).toBe(true);
  const answers = await Promise.all(Array.from({ length: 12 }, async (_, index) => {
    await pause(index * 150);
    return fleet.call(index % 3, chatCall(`order ${index}`, 5));
  }));
  expect(answers.filter(({ text }) => text.includes('corrupted'))).toEqual([]);
  await waitUntil('the holder has put it right', async () => {
    const report = await readVMReport(agent, VMId.parse(victim?.vm), victim?.address ?? '');
    return report.isOk() && report.value.replica !== 'letters.late' && isRight();
  }, REPAIR_MILLISECONDS);
  const allocations = (await store.scan(TABLE_NAMES.allocations, REGION))._unsafeUnwrap()
    .map(({ value }) => Allocation.parse(value));
  expect(new Set(allocations.map(({ vm }) => vm)).size).toBe(allocations.length);
  expect(await sharedVMs()).toEqual([]);
}, LONG_TEST_MILLISECONDS);

test('answers of the store lost while a replica is replaced', async () => {
  const platform = String(fleet.system.platform.addresses.address);
  const setFault = (kind: string) => agent.request({
    origin: `http://${platform}`,
    method: 'POST',
    path: '/faults',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ kind }),
  }).then(({ body }) => body.dump());
  const replica = (await readPlacements()).find(({ service }) => service === 'letters')?.replicas
    .find(({ state }) => state === 'serving');
  await setFault('lose-answers');
  await fleet.fault(replica?.members[0]?.vm ?? '', { kind: 'restart' });
  const shared: string[] = [];
  for (let look = 0; look < 30; look += 1) {
    shared.push(...await sharedVMs());
    await pause(100);
  }
  await setFault('none');
  await waitUntil('all serve', isRight, REPAIR_MILLISECONDS);
  expect([...shared, ...await sharedVMs()]).toEqual([]);
}, LONG_TEST_MILLISECONDS);
