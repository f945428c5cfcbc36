import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { ServiceId } from '@dandelionlane/core';
import { request } from 'undici';
import {
  afterEach, expect, test, vi,
} from 'vitest';
import TARGET_SCRIPTS from './TARGET_SCRIPTS.js';
import TestGateway, { type CallerAnswer, type TargetScript } from './TestGateway.js';
import TestGateways from './TestGateways.js';

const RESUMABLE = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const ONCE = { kind: 'non-idempotent' } as const;
const IDEMPOTENT = { kind: 'idempotent' } as const;

const gateways = new TestGateways();

afterEach(() => gateways.stop());

const { serve, fail } = TARGET_SCRIPTS;

/** A gateway whose targets have all been lost to it, with others that it may pass requests on to. */
async function startCutOff(
  kind: Parameters<typeof TestGateway.start>[0],
  ...others: readonly TestGateway[]
): Promise<TestGateway> {
  const gateway = await gateways.start(kind, [serve, serve, serve]);
  [0, 1, 2].forEach((index) => gateway.stopTarget(index));
  gateway.peers = others.map((other, index) => other.asPeer(`entry-${index}`));
  return gateway;
}

/** Sends requests until one ends as wanted: the loss of the paths has to be found first. */
async function callUntil(gateway: TestGateway, status: number): Promise<CallerAnswer> {
  let answer = await gateway.call();
  for (let tries = 0; tries < 20 && answer.status !== status; tries += 1) {
    await sleep(50);
    answer = await gateway.call();
  }
  return answer;
}

// Callers of an entry that had lost its paths to all targets were refused, though other entries reached them.
test.each([['once', ONCE], ['idempotent', IDEMPOTENT], ['stream', RESUMABLE]] as const)(
  'a request %s is served through another entry',
  async (_name, kind) => {
    const other = await gateways.start(kind, [serve]);
    const gateway = await startCutOff(kind, other);
    expect(await callUntil(gateway, 200)).toMatchObject({ status: 200, body: 'id: 1\ndata: e1\n\n', cut: false });
    expect(other.received[0]).toBeGreaterThan(0);
  },
);

test('an entry that has lost its paths itself passes nothing on', async () => {
  const reached = await gateways.start(ONCE, [serve]);
  const second = await startCutOff(ONCE, reached);
  const first = await startCutOff(ONCE, second);
  await callUntil(second, 200);
  const before = reached.received[0];
  // It was not known yet that the second one has lost its paths.
  first.peers = first.peers.map((peer) => ({ ...peer, unreachable: [] }));
  const answer = await callUntil(first, 200);
  expect(answer.status).toBe(503);
  expect(reached.received[0]).toBe(before);
});

test('another entry is tried after one that declines', async () => {
  const reached = await gateways.start(ONCE, [serve]);
  const second = await startCutOff(ONCE);
  await callUntil(second, 200);
  const first = await startCutOff(ONCE, second, reached);
  first.peers = first.peers.map((peer) => ({ ...peer, unreachable: [] }));
  expect((await callUntil(first, 200)).status).toBe(200);
});

test('an entry that is known to have lost its paths is not asked', async () => {
  const second = await startCutOff(ONCE);
  await callUntil(second, 200);
  const first = await startCutOff(ONCE, second);
  expect(first.peers.map(({ unreachable }) => unreachable.length)).toEqual([1]);
  expect((await callUntil(first, 200)).status).toBe(503);
});

test('the failure of a target behind another entry is passed back', async () => {
  const other = await gateways.start(ONCE, [fail]);
  const gateway = await startCutOff(ONCE, other);
  expect(await callUntil(gateway, 500)).toMatchObject({ status: 500, body: 'failed' });
});

test('a refusal of another entry is passed back with its time to return', async () => {
  const busy: TargetScript = (_incoming, outgoing) => {
    outgoing.writeHead(503, { 'x-not-executed': '1', 'x-pause': '700' }).end();
  };
  const other = await gateways.start(ONCE, [busy]);
  await other.call();
  const gateway = await startCutOff(ONCE, other);
  const answer = await callUntil(gateway, 429);
  expect(answer.status).toBe(429);
  expect(Number(answer.retryAfter)).toBeGreaterThan(0.3);
});

test('an entry that does not listen is left for another one', async () => {
  const gone = await gateways.start(ONCE, [serve]);
  const other = await gateways.start(ONCE, [serve]);
  const gateway = await startCutOff(ONCE, gone, other);
  gone.stop();
  expect((await callUntil(gateway, 200)).status).toBe(200);
});

test('a request that may run once is not sent again after the entry that it was passed on to is lost', async () => {
  let runs = 0;
  const breakOff: TargetScript = (incoming) => {
    runs += 1;
    incoming.socket.resetAndDestroy();
  };
  const others = [await gateways.start(ONCE, [breakOff]), await gateways.start(ONCE, [breakOff])];
  const gateway = await startCutOff(ONCE, ...others);
  const answer = await callUntil(gateway, 502);
  expect(answer.status).toBe(502);
  expect(runs).toBe(1);
});

// A refusal marked as declined after the request had run would have let another entry run it again.
test('an entry whose target may have run the request does not decline it', async () => {
  const sockets: Socket[] = [];
  const hold: TargetScript = (incoming) => sockets.push(incoming.socket);
  const other = await gateways.start(IDEMPOTENT, [hold]);
  const service = ServiceId.parse('model');
  const answered = request(`http://${String(other.asPeer('other').forwardAddress)}/a/b`, {
    method: 'POST', body: 'body', headers: { host: 'h', 'x-id': 'r1' },
  });
  await vi.waitUntil(() => sockets.length > 0);
  other.stopListening(0);
  await other.paths.check(service);
  sockets.forEach((socket) => socket.resetAndDestroy());
  const { statusCode, headers, body } = await answered;
  await body.dump();
  expect(other.paths.isLost(service)).toBe(true);
  expect(statusCode).toBe(502);
  expect(headers).not.toHaveProperty('x-declined');
});

test('targets that a request was sent to before count at the entry that serves it', async () => {
  const other = await gateways.start(IDEMPOTENT, [fail, fail, fail], 2);
  const sent = async (earlier: string) => {
    const before = other.received.reduce((sum, count) => sum + count, 0);
    const { body } = await request(`http://${String(other.asPeer('other').forwardAddress)}/a/b`, {
      method: 'POST', body: 'body', headers: { host: 'h', 'x-id': 'r1', 'x-earlier': earlier },
    });
    await body.dump();
    return other.received.reduce((sum, count) => sum + count, 0) - before;
  };
  expect(await sent('0')).toBe(2);
  expect(await sent('1')).toBe(1);
});
