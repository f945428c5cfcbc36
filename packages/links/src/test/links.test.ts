import {
  afterEach, expect, test, vi,
} from 'vitest';
import {
  EntryId, RowVersion, WorkerId, ServiceId,
} from '@dandelionlane/core';
import EntryStatus from '../lib/EntryStatus.js';
import type FleetState from '../lib/FleetState.js';
import LinkClient from '../lib/LinkClient.js';
import LinkServer from '../lib/LinkServer.js';
import decodeMessage from '../lib/decodeMessage.js';
import findStalled from '../lib/findStalled.js';
import othersReachStore from '../lib/othersReachStore.js';
import sumRequests from '../lib/sumRequests.js';
import sumLoads from '../lib/sumLoads.js';

const LOG = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};
const HEAD = WorkerId.parse('head');

function status(entry: string, target: Partial<EntryStatus['targets'][number]> = {}): EntryStatus {
  return {
    kind: 'status',
    entry: EntryId.parse(entry),
    ready: true,
    callerAddress: `${entry}:1`,
    storeAgeMilliseconds: 0,
    requests: [],
    targets: [{
      worker: HEAD,
      formation: 'g/1',
      outstanding: 2,
      started: 1,
      unreadTokens: 10,
      silentMilliseconds: 500,
      doubted: false,
      ...target,
    }],
  };
}

const STATE: FleetState = {
  kind: 'state',
  holder: EntryId.parse('holder'),
  lease: null,
  requests: [],
  ageMilliseconds: 0,
  entries: [],
  loads: [],
  stalled: [],
  groups: [],
  rows: [],
  whole: false,
  returned: false,
  version: RowVersion.parse(0),
};

const closing: (() => void)[] = [];

afterEach(() => {
  closing.splice(0).forEach((close) => close());
});

test('loads of all entries add up', () => {
  expect(sumLoads([status('a'), status('b')])).toEqual([{ worker: HEAD, outstanding: 4, unreadTokens: 20 }]);
});

test('a formation is silent only if it is so to all entries', () => {
  const limit = () => 200;
  const aged = (each: EntryStatus) => ({ status: each, ageMilliseconds: 10 });
  expect(findStalled([aged(status('a')), aged(status('b'))], limit)).toHaveLength(1);
  expect(findStalled([aged(status('a')), aged(status('b', { silentMilliseconds: 20 }))], limit)).toEqual([]);
  expect(findStalled([aged(status('a', { started: 0 }))], limit)).toEqual([]);
});

test('unread prompts of all entries count', () => {
  const limit = (_worker: WorkerId, unread: number) => 400 + unread * 10;
  const aged = (each: EntryStatus) => ({ status: each, ageMilliseconds: 0 });
  expect(findStalled([aged(status('a'))], limit)).toHaveLength(1);
  expect(findStalled([aged(status('a')), aged(status('b'))], limit)).toEqual([]);
});

test('bytes that are no message are an error', () => {
  expect(decodeMessage(EntryStatus, Buffer.from('no message')).isErr()).toBe(true);
  expect(decodeMessage(EntryStatus, Buffer.from([0xc1])).isErr()).toBe(true);
});

test('a link carries statuses one way and states the other', async () => {
  const server = new LinkServer({
    host: '127.0.0.1', port: 0, log: LOG, now: () => performance.now(),
  });
  closing.push(() => server.close());
  const port = await server.listen();
  const states: FleetState[] = [];
  let lost = 0;
  const client = new LinkClient({
    log: LOG,
    now: () => performance.now(),
    receive: (state) => states.push(state),
    lost: () => {
      lost += 1;
    },
  });
  closing.push(() => client.close());
  await vi.waitFor(() => {
    client.maintain(`127.0.0.1:${port}`);
    client.send(status('a'));
    expect(server.statuses()).toHaveLength(1);
  });
  const row = {
    table: 't', key: 'k', version: RowVersion.parse(1), value: { a: 1 },
  };
  server.broadcast(STATE, () => [row]);
  server.broadcast(STATE, () => [row]);
  await vi.waitFor(() => expect(states).toHaveLength(2));
  expect(states.map(({ whole, rows }) => [whole, rows.length])).toEqual([[true, 1], [false, 0]]);
  expect(client.working).toBe(true);
  server.disconnect();
  await vi.waitFor(() => expect(lost).toBe(1));
  expect(client.working).toBe(false);
});

test('a holder tells an outage of its own from one for all', () => {
  expect(othersReachStore(3_000, [])).toBe(false);
  expect(othersReachStore(3_000, [2_600, 4_000])).toBe(false);
  expect(othersReachStore(3_000, [2_600, 300])).toBe(true);
  expect(othersReachStore(900, [0])).toBe(false);
});

test('requests are summed over entries by service', () => {
  const [one, two] = [ServiceId.parse('one'), ServiceId.parse('two')];
  const first = { ...status('a'), requests: [{ service: one, requests: 2 }] };
  const second = { ...status('b'), requests: [{ service: one, requests: 3 }, { service: two, requests: 1 }] };
  expect(sumRequests([first, second]))
    .toEqual([{ service: one, requests: 5 }, { service: two, requests: 1 }]);
});
