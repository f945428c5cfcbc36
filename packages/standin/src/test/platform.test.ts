import { createConnection } from 'node:net';
import {
  afterEach, beforeEach, expect, test,
} from 'vitest';
import { request } from 'undici';
import { type PlatformHandle, startPlatform } from '../index.js';

let platform: PlatformHandle;

async function start(): Promise<PlatformHandle> {
  return (await startPlatform({ weightBytesPerSecond: 1_000_000 })).match((handle) => handle, (error) => {
    throw new Error(error.message);
  });
}

beforeEach(async () => {
  platform = await start();
});

afterEach(() => platform.close());

async function send(method: 'GET' | 'POST' | 'PUT', path: string, body?: unknown) {
  const answer = await request(`http://${platform.address}${path}`, {
    method,
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  const text = await answer.body.text();
  return { status: answer.statusCode, body: text === '' ? null : JSON.parse(text) as unknown };
}

const row = { table: 'leases', key: 'east' };
const create = { conditions: [{ ...row, version: 0 }], writes: [{ ...row, value: { holder: 'a' } }] };

test('commit, conflict, read and scan', async () => {
  expect((await send('POST', '/v1/transactions', create)).body).toEqual({ kind: 'committed', version: 1 });
  expect((await send('POST', '/v1/transactions', create)).body).toMatchObject({ kind: 'conflict', rows: [{ version: 1 }] });
  expect((await send('POST', '/v1/reads', { rows: [row] })).body).toMatchObject({ rows: [{ value: { holder: 'a' } }] });
  expect((await send('GET', '/v1/rows?table=leases&prefix=ea&limit=1')).body)
    .toMatchObject({ rows: [row], more: false });
  expect((await send('GET', '/counters')).body).toEqual({ reads: 1, writes: 2, scans: 1 });
});

test('lost answer takes effect', async () => {
  await send('POST', '/faults', { kind: 'lose-answers' });
  await expect(send('POST', '/v1/transactions', create)).rejects.toThrow();
  await send('POST', '/faults', { kind: 'none' });
  expect((await send('POST', '/v1/reads', { rows: [row] })).body).toMatchObject({ rows: [{ version: 1 }] });
});

test('unavailable store answers 503', async () => {
  await send('POST', '/faults', { kind: 'unavailable' });
  expect(await send('POST', '/v1/transactions', create))
    .toMatchObject({ status: 503, body: { kind: 'store-unavailable', outcome: 'not-run' } });
  await send('POST', '/faults', { kind: 'none' });
  expect((await send('POST', '/v1/reads', { rows: [row] })).body).toMatchObject({ rows: [{ version: 0 }] });
});

test('stale reads miss later writes', async () => {
  await send('POST', '/faults', { kind: 'stale-reads' });
  expect((await send('POST', '/v1/transactions', create)).body).toMatchObject({ kind: 'committed' });
  expect((await send('POST', '/v1/reads', { rows: [row] })).body).toMatchObject({ rows: [{ version: 0 }] });
});

test('objects round trip', async () => {
  expect((await send('GET', '/v1/objects/a/b')).status).toBe(404);
  await send('PUT', '/v1/objects/a/b', { snapshot: 1 });
  expect((await send('GET', '/v1/objects/a/b')).body).toEqual({ snapshot: 1 });
});

test('VM list follows changes', async () => {
  const record = {
    vm: 'vm-1', availabilityZone: 'a', fabricDomain: 'f', accelerators: 8, address: '127.0.0.1:9', state: 'live',
  };
  await send('PUT', '/v1/vms/vm-1', record);
  await send('POST', '/v1/vms/vm-1', { state: 'leaving' });
  expect((await send('GET', '/v1/vms')).body).toMatchObject({ vms: [{ vm: 'vm-1', state: 'leaving' }] });
  await send('POST', '/v1/vms/vm-1', { state: 'gone' });
  expect((await send('GET', '/v1/vms')).body).toEqual({ vms: [] });
  expect((await send('POST', '/v1/vms/vm-1', { state: 'live' })).status).toBe(404);
});

test('weight transfers finish', async () => {
  const fetches = ['v1', 'v2'].map((version) => send('POST', '/v1/weights/fetches', {
    model: 'm', version, bytes: 10_000,
  }));
  expect((await Promise.all(fetches)).map(({ status }) => status)).toEqual([200, 200]);
});

test('closed platform refuses connections', async () => {
  await platform.close();
  const [host, port] = platform.address.split(':');
  const outcome = await new Promise((resolve) => {
    createConnection(Number(port), host).once('error', () => resolve('refused')).once('connect', () => resolve('open'));
  });
  expect(outcome).toBe('refused');
  platform = await start();
});
