import { Socket, connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  afterEach, expect, test, vi,
} from 'vitest';
import { request } from 'undici';
import { PromptPartId, SystemClock } from '@dandelionlane/core';
import TestGateway, { type CallerAnswer, type TargetScript } from './TestGateway.js';

const STREAM = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;

let gateway: TestGateway | undefined;

afterEach(() => gateway?.stop());

const silent: TargetScript = () => undefined;

const begin: TargetScript = (_incoming, outgoing) => {
  outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1' });
  outgoing.write('id: 1\ndata: e1\n\n');
};

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(5);
  }
}

// Guards against connections that a leaving entry closes though callers expect them to stay open.
test('an answer to a request from before the departure closes its connection', async () => {
  const started = await TestGateway.start({ kind: 'idempotent' }, [(_incoming, outgoing) => {
    started.leave(60_000, 60_000);
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1' });
    outgoing.end('done');
  }]);
  gateway = started;
  const [host, port] = started.address.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString().toLowerCase();
  });
  socket.write('POST /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\ncontent-length: 4\r\n\r\nbody');
  await waitUntil(() => received.includes('done'));
  expect(received).toContain('connection: close');
  socket.destroy();
});

// Guards against requests that ran and got no answer, as their entry ended at the end of the grace period.
test.each([
  ['idempotent request', { kind: 'idempotent' }],
  ['request that may run once', { kind: 'non-idempotent' }],
  ['stream', STREAM],
] as const)('a %s that a target still has is answered at the end of the entry', async (_name, kind) => {
  let isAbandoned = false;
  const started = await TestGateway.start(kind, [(incoming) => {
    incoming.socket.once('close', () => {
      isAbandoned = true;
    });
  }], 1);
  gateway = started;
  const answer = started.call();
  await waitUntil(() => started.received[0] === 1);
  started.endAll();
  expect(await answer).toMatchObject({
    status: 504, cut: false, body: expect.stringContaining('entry ends') as string,
  });
  await waitUntil(() => isAbandoned);
});

test('a stream that waits for a target is refused at the end of the entry', async () => {
  const started = await TestGateway.start(STREAM, [silent]);
  gateway = started;
  Object.assign(started.states.of('w0' as never), { outstanding: 20 });
  const answer = started.call();
  await waitUntil(() => started.inFlight === 1);
  started.endAll();
  expect(await answer).toMatchObject({ status: 503, cut: false, retryAfter: '0.1' });
  Object.assign(started.states.of('w0' as never), { outstanding: 0 });
  await sleep(200);
  expect(started.received).toEqual([0]);
});

test('a stream that has begun does not look complete at the end of the entry', async () => {
  const started = await TestGateway.start(STREAM, [begin]);
  gateway = started;
  const { statusCode, body } = await request(`http://${started.address}/a/b`, {
    method: 'POST', headers: { host: 'h', 'x-id': 'r1' }, body: 'body',
  });
  started.endAll();
  expect(statusCode).toBe(200);
  await expect(body.text()).rejects.toThrow();
});

test('a request whose body has been read in part is refused at the end of the entry', async () => {
  const started = await TestGateway.start({ kind: 'idempotent' }, [silent]);
  gateway = started;
  const [host, port] = started.address.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  socket.write('POST /a/b HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbo');
  await waitUntil(() => started.inFlight === 1);
  started.endAll();
  await waitUntil(() => received !== '');
  expect(received).toContain(' 503 ');
  socket.write('dy');
  await sleep(100);
  expect(started.received).toEqual([0]);
  socket.destroy();
});

test('a request that comes at the end of the entry is refused, however short its deadline', async () => {
  gateway = await TestGateway.start({ kind: 'idempotent' }, [silent]);
  gateway.leave(60_000, 60_000);
  gateway.endAll();
  expect(await gateway.call({ 'x-deadline': '1' })).toMatchObject({ status: 503 });
  expect(gateway.received).toEqual([0]);
});

/** Ends the gateway once all targets have got a request. Returns its answer and the resets of connections. */
async function endUnderRequest(started: TestGateway): Promise<{ answer: CallerAnswer; resets: number }> {
  const reset = vi.spyOn(Socket.prototype, 'resetAndDestroy');
  const answered = started.call();
  await waitUntil(() => started.received.every((count) => count > 0));
  await sleep(50);
  started.endAll();
  const answer = await answered;
  await sleep(50);
  const resets = reset.mock.calls.length;
  reset.mockRestore();
  return { answer, resets };
}

// Guards against a reset that overtakes the answer which the end of the entry has written.
test('the answer to a stream at the end of the entry is not followed by a reset', async () => {
  const started = await TestGateway.start({ ...STREAM, resumable: false }, [silent]);
  gateway = started;
  expect(await endUnderRequest(started)).toMatchObject({ answer: { status: 504, cut: false }, resets: 0 });
});

// Guards against a second answer, the failure of a target, after the one that the end of the entry wrote.
test('a request with a failure answer gets one answer at the end of the entry', async () => {
  const fail: TargetScript = (_incoming, outgoing) => {
    outgoing.writeHead(500, { 'x-id': 'r1', 'x-signed': '1' }).end('failed');
  };
  const started = await TestGateway.start({ kind: 'idempotent' }, [fail, silent]);
  gateway = started;
  started.states.of('w1' as never).latencyMilliseconds = 1_000;
  expect(await endUnderRequest(started)).toMatchObject({ answer: { status: 504, cut: false }, resets: 0 });
});

// Guards against a run of a request that the end of the entry has refused as not run.
test('a stream that waits for the trial of a part is not sent after the end of the entry', async () => {
  const started = await TestGateway.start({ ...STREAM, resumable: false }, [silent]);
  gateway = started;
  const { quarantine } = started;
  const part = PromptPartId.parse('deadly');
  const target = started.states.of('w0' as never);
  target.outstanding = 20;
  const answer = started.call({ 'x-parts': part });
  await sleep(100);
  const now = new SystemClock().monotonicMilliseconds();
  [33_000, 32_000, 31_000].forEach((age, index) => quarantine.recordCrash({
    id: `c${index}` as never, bornAt: 1, at: now - age,
  }, [part]));
  target.outstanding = 0;
  await sleep(100);
  started.endAll();
  expect(await answer).toMatchObject({ status: 503 });
  quarantine.grantTrials([part]);
  await sleep(200);
  expect(started.received).toEqual([0]);
});
