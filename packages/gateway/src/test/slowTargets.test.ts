import { afterEach, expect, test } from 'vitest';
import { WorkerId } from '@dandelionlane/core';
import TestGateway, { type TargetScript } from './TestGateway.js';

const IDEMPOTENT = { kind: 'idempotent' } as const;
const SIGNED = { 'x-id': 'r1', 'x-signed': '1' };
const NO_REPEATS = 0;

let gateway: TestGateway;

afterEach(() => gateway.stop());

const refuse: TargetScript = (_incoming, outgoing) => {
  outgoing.writeHead(503, { 'x-not-executed': '1' }).end();
};

/** Answers a plain request after a time, in ms. */
function answerAfter(milliseconds: number, body: string): TargetScript {
  return (_incoming, outgoing) => {
    setTimeout(() => outgoing.writeHead(200, SIGNED).end(body), milliseconds);
  };
}

// Guards against 502 for a request that its first target would have answered.
test('an idempotent request stays at a slow target when no repeat is left', async () => {
  gateway = await TestGateway.start(IDEMPOTENT, [answerAfter(500, 'late')], 2, NO_REPEATS);
  expect(await gateway.call()).toMatchObject({ status: 200, body: 'late' });
});

// Guards against 502 when the second target refuses a request that the first would have answered.
test('an idempotent request stays at a slow target when no other takes it', async () => {
  gateway = await TestGateway.start(IDEMPOTENT, [answerAfter(500, 'late'), refuse]);
  gateway.states.of(WorkerId.parse('w1')).latencyMilliseconds = 1_000;
  expect(await gateway.call()).toMatchObject({ status: 200, body: 'late' });
  expect(gateway.received).toEqual([1, 1]);
});

// Guards against a longer wait after a second target has been tried.
test('the first answer of two targets is passed on', async () => {
  gateway = await TestGateway.start(IDEMPOTENT, [answerAfter(500, 'late'), answerAfter(1_500, 'later')]);
  gateway.states.of(WorkerId.parse('w1')).latencyMilliseconds = 1_000;
  expect(await gateway.call()).toMatchObject({ status: 200, body: 'late' });
  expect(gateway.received).toEqual([1, 1]);
});

// Guards against a second run of each request of a route that names no target latency.
test('an idempotent request of a route without a target latency stays at its target', async () => {
  gateway = await TestGateway.start(IDEMPOTENT, [answerAfter(200, 'a'), answerAfter(200, 'a')], 2, 100, 0);
  expect(await gateway.call()).toMatchObject({ status: 200, body: 'a' });
  expect(gateway.received).toEqual([1, 0]);
});

// Guards against the avoidance of a target that only serves requests that take long and may run once.
test('a slow answer to a request that may run once is no failure', async () => {
  gateway = await TestGateway.start({ kind: 'non-idempotent' }, [answerAfter(500, 'late')]);
  expect(await gateway.call()).toMatchObject({ status: 200, body: 'late' });
  expect(gateway.states.of(WorkerId.parse('w0')).failureRate).toBe(0);
});
