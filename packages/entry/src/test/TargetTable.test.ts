import {
  EntryId, ManualClock, MemoryTableStore, RegionId, ServiceId, ServicePlacement, TABLE_NAMES,
} from '@dandelionlane/core';
import { createLog } from '@dandelionlane/telemetry';
import { MockAgent } from 'undici';
import { expect, test, vi } from 'vitest';
import TargetTable from '../lib/targets/TargetTable.js';

/** Ends a test that would hang. */
const WAIT_LIMIT = { timeout: 30_000 };

const service = ServiceId.parse('laser-slots');
const member = {
  vm: 'plain-1', address: '127.0.0.1:9', availabilityZone: 'zone-a', fabricDomain: 'zone-a-fabric',
};

/** Writes a placement row with one replica in the given state. */
async function place(store: MemoryTableStore, state: 'loading' | 'serving'): Promise<void> {
  const placement = ServicePlacement.parse({
    service,
    replicas: [{
      replica: 'laser-slots.1',
      service,
      version: '1',
      state,
      fencing: 1,
      members: [member],
      grants: [{ entry: 'entry-1', cold: 1, warm: 1 }],
    }],
  });
  await store.commit({
    conditions: [], writes: [{ table: TABLE_NAMES.placements, key: `region-1/${service}`, value: placement }],
  });
}

/** A table whose VM answers each poll with the next of the given phases, and the last one from then on. */
function createTable(store: MemoryTableStore, phases: readonly ('loading' | 'warm')[]) {
  const clock = new ManualClock();
  const dispatcher = new MockAgent();
  dispatcher.disableNetConnect();
  let polls = 0;
  dispatcher.get(`http://${member.address}`).intercept({ path: '/v1/report' }).reply(() => {
    polls += 1;
    return {
      statusCode: 200,
      responseOptions: { headers: { 'content-type': 'application/json' } },
      data: {
        vm: member.vm,
        incarnation: 1,
        sequence: polls,
        phase: phases[Math.min(polls, phases.length) - 1],
        replica: 'laser-slots.1',
        service,
        version: '1',
        fencing: 1,
        leaving: false,
        runningRequests: 0,
        waitingRequests: 0,
        outstandingTokens: 0,
      },
    };
  }).persist();
  const table = new TargetTable({
    entry: EntryId.parse('entry-1'),
    region: RegionId.parse('region-1'),
    store,
    dispatcher,
    clock,
    freshnessMilliseconds: 2_500,
    isOut: () => false,
    log: createLog('test', { level: 'silent', format: 'text' }, clock),
    onCapacityChange: () => undefined,
  });
  return { table, clock, countPolls: () => polls };
}

async function waitUntilWhole(table: TargetTable): Promise<void> {
  await vi.waitFor(() => expect(table.targets(service)?.hasWholeReplica()).toBe(true), WAIT_LIMIT);
}

test('a replica that has come into service is polled when its row is read', async () => {
  const store = new MemoryTableStore();
  await place(store, 'serving');
  const { table } = createTable(store, ['warm']);
  await table.readRows([service]);
  await waitUntilWhole(table);
});

test('a replica whose last report is from before it was ready is polled when its row is read', async () => {
  const store = new MemoryTableStore();
  await place(store, 'loading');
  const { table, clock } = createTable(store, ['loading', 'warm']);
  await table.readRows([service]);
  await table.pollReports();
  clock.advance(500);
  await place(store, 'serving');
  await table.readRows([service]);
  await waitUntilWhole(table);
});

test('a replica that is whole or does not serve is not polled when its row is read', async () => {
  const store = new MemoryTableStore();
  await place(store, 'loading');
  const { table, clock, countPolls } = createTable(store, ['warm']);
  await table.readRows([service]);
  await place(store, 'serving');
  await table.pollReports();
  clock.advance(500);
  await table.readRows([service]);
  await new Promise(setImmediate);
  expect(countPolls()).toBe(1);
});
