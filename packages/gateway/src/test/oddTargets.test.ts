import {
  afterEach, expect, test, vi,
} from 'vitest';
import { WorkerId } from '@dandelionlane/core';
import type { RequestKind } from '@dandelionlane/fleet';
import TargetAttempt from '../lib/targets/TargetAttempt.js';
import TargetConnections from '../lib/targets/TargetConnections.js';
import TestGateway, { type TargetScript } from './TestGateway.js';

const KINDS: readonly RequestKind[] = [
  { kind: 'idempotent' },
  { kind: 'non-idempotent' },
  { kind: 'stream', resumable: true, targetGapMilliseconds: null },
];

const ODD_ADDRESSES = ['127.0.0.1:70000', `127.0.0.1:${'9'.repeat(400)}`, 'a b%\n:80', ''];

const REQUESTS = 20;

let gateway: TestGateway | undefined;

afterEach(() => gateway?.stop());

const answer: TargetScript = (incoming, outgoing) => {
  outgoing.writeHead(200, { 'x-id': String(incoming.headers['x-id']), 'x-signed': '1' });
  outgoing.end('id: 1\ndata: a\n\n');
};

/** Replaces the address of the first of three targets. */
function replaceAddress({ workers }: TestGateway, address: string): void {
  const [first] = workers.all();
  if (first !== undefined) {
    workers.put({ ...first.worker, address });
  }
}

// Guards against a service that is lost to one target whose address the client rejects with an exception.
test.each(KINDS.flatMap((kind) => ODD_ADDRESSES.map((address) => ({ kind, address }))))(
  'requests are served beside a target with an odd address: $kind.kind, $address',
  async ({ kind, address }) => {
    gateway = await TestGateway.start(kind, [answer, answer, answer]);
    replaceAddress(gateway, address);
    const statuses: number[] = [];
    for (let index = 0; index < REQUESTS; index += 1) {
      statuses.push((await gateway.call({ 'x-id': `r${index}` })).status);
    }
    expect(statuses).toEqual(Array<number>(REQUESTS).fill(200));
    expect(gateway.states.of(WorkerId.parse('w0')).outstanding).toBe(0);
  },
);

// Guards against requests that go to a target again and again although the client rejects it.
test.each(KINDS)('a target with an odd address is avoided: $kind', async (kind) => {
  gateway = await TestGateway.start(kind, [answer]);
  replaceAddress(gateway, '127.0.0.1:70000');
  const state = gateway.states.of(WorkerId.parse('w0'));
  const [{ status }] = await Promise.all([
    gateway.call(), vi.waitFor(() => expect(state.isUnreachable).toBe(true), { interval: 5 }),
  ]);
  expect(status).toBe(503);
});

// Guards against a 500 where the client rejects a header before it sends anything.
test.each([
  [{ address: '127.0.0.1:70000' }],
  [{ headers: { 'x-worker': 'a\nb' } }],
  [{ headers: { 'x-worker': '\u2713' } }],
  [{ path: 'a b' }],
])('an attempt that the client rejects fails later and unsent: %j', async (odd) => {
  let isStarting = true;
  const outcome = await new Promise<readonly [boolean, boolean]>((resolve) => {
    const attempt: TargetAttempt = new TargetAttempt(new TargetConnections(() => undefined), {
      worker: WorkerId.parse('w0'),
      address: '127.0.0.1:1',
      method: 'GET',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      usesNewConnection: true,
      ...odd,
    }, {
      head: () => undefined,
      data: () => undefined,
      ended: () => undefined,
      failed: () => resolve([isStarting, attempt.sent]),
    });
    attempt.start();
    isStarting = false;
  });
  expect(outcome).toEqual([false, false]);
});
