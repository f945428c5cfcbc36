import { afterEach, expect, test } from 'vitest';
import TestGateway, { type TargetScript } from './TestGateway.js';

const SIGNED = { 'x-id': 'r1', 'x-signed': '1' };

let gateway: TestGateway | undefined;

afterEach(() => gateway?.stop());

const answer: TargetScript = (_incoming, outgoing) => {
  outgoing.writeHead(200, SIGNED);
  outgoing.end('done');
};
const fail: TargetScript = (_incoming, outgoing) => {
  outgoing.writeHead(500, SIGNED);
  outgoing.end('failed');
};
const reject: TargetScript = (_incoming, outgoing) => {
  outgoing.writeHead(503, { 'x-not-executed': '1' });
  outgoing.end();
};
const reset: TargetScript = (incoming) => {
  incoming.socket.resetAndDestroy();
};
const foreign: TargetScript = (_incoming, outgoing) => {
  outgoing.writeHead(200, { ...SIGNED, 'x-id': 'r2' });
  outgoing.end('of another');
};
const unsigned: TargetScript = (_incoming, outgoing) => {
  outgoing.writeHead(200, { 'x-id': 'r1' });
  outgoing.end('unsigned');
};

test('an answer is passed on', async () => {
  gateway = await TestGateway.start({ kind: 'idempotent' }, [answer]);
  expect(await gateway.call()).toMatchObject({ status: 200, body: 'done', cut: false });
});

test('an idempotent request is retried after a reset', async () => {
  gateway = await TestGateway.start({ kind: 'idempotent' }, [reset, answer]);
  gateway.states.of('w1' as never).latencyMilliseconds = 1_000;
  expect(await gateway.call()).toMatchObject({ status: 200, body: 'done' });
  expect(gateway.received).toEqual([1, 1]);
});

test('a non-idempotent request is not retried after a reset', async () => {
  gateway = await TestGateway.start({ kind: 'non-idempotent' }, [reset, answer]);
  gateway.states.of('w1' as never).latencyMilliseconds = 1_000;
  expect((await gateway.call()).status).toBe(502);
  expect(gateway.received).toEqual([1, 0]);
});

test('a request that was not executed is retried at another target', async () => {
  gateway = await TestGateway.start({ kind: 'non-idempotent' }, [reject, answer]);
  gateway.states.of('w1' as never).latencyMilliseconds = 1_000;
  expect(await gateway.call()).toMatchObject({ status: 200, body: 'done' });
});

test('a request that all targets refused gets a Retry-After', async () => {
  gateway = await TestGateway.start({ kind: 'non-idempotent' }, [reject, reject]);
  const { status, retryAfter } = await gateway.call();
  expect(status).toBe(503);
  expect(Number(retryAfter)).toBeGreaterThan(0);
});

test('a failure of the target is passed on when no attempt is left', async () => {
  gateway = await TestGateway.start({ kind: 'idempotent' }, [fail], 1);
  expect(await gateway.call()).toMatchObject({ status: 500, body: 'failed' });
});

test('an answer to another request is never passed on', async () => {
  gateway = await TestGateway.start({ kind: 'non-idempotent' }, [foreign]);
  expect((await gateway.call()).status).toBe(502);
});

test('a success without a signature is never passed on', async () => {
  gateway = await TestGateway.start({ kind: 'non-idempotent' }, [unsigned]);
  expect((await gateway.call()).status).toBe(502);
});

test('a request without a target gets a Retry-After', async () => {
  gateway = await TestGateway.start({ kind: 'non-idempotent' }, []);
  const { status, retryAfter } = await gateway.call();
  expect(status).toBe(503);
  expect(Number(retryAfter)).toBeGreaterThan(0);
});

test('a silent target leads to a 504, not to a refusal', async () => {
  gateway = await TestGateway.start({ kind: 'non-idempotent' }, [() => undefined]);
  expect((await gateway.call({ 'x-deadline': '150' })).status).toBe(504);
});

test('a body over the limit is refused', async () => {
  gateway = await TestGateway.start({ kind: 'idempotent' }, [answer]);
  expect((await gateway.call({}, 'x'.repeat(1_001))).status).toBe(413);
  expect(gateway.received).toEqual([0]);
});
