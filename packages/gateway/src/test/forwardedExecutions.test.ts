import { request } from 'undici';
import { afterEach, expect, test } from 'vitest';
import TARGET_SCRIPTS from './TARGET_SCRIPTS.js';
import TestGateway, { type TargetScript } from './TestGateway.js';
import TestGateways from './TestGateways.js';

const RESUMABLE = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const ONCE = { kind: 'non-idempotent' } as const;
const IDEMPOTENT = { kind: 'idempotent' } as const;
const SIGNED = { 'x-id': 'r1', 'x-signed': '1' };
const MAXIMUM_ATTEMPTS = 2;

const gateways = new TestGateways();

afterEach(() => gateways.stop());

const { serve, fail } = TARGET_SCRIPTS;

const hang: TargetScript = () => undefined;

const breakOff: TargetScript = (incoming, outgoing) => {
  const next = Number(incoming.headers['last-event-id'] ?? 0) + 1;
  outgoing.writeHead(200, { ...SIGNED, 'content-type': 'text/event-stream' });
  outgoing.write(`id: ${next}\ndata: e\n\n`);
  setTimeout(() => incoming.socket.resetAndDestroy(), 20);
};

function countRuns(others: readonly TestGateway[]): number {
  return others.flatMap(({ received }) => received).reduce((sum, count) => sum + count, 0);
}

// Requests ran on three workers where two are allowed: all that another entry did counted as one execution.
test.each([
  ['failing requests', IDEMPOTENT, fail],
  ['overdue requests', IDEMPOTENT, hang],
  ['streams that break off', RESUMABLE, breakOff],
] as const)('%s run on no more targets behind several entries than on those of one', async (_name, kind, script) => {
  const others = await Promise.all([0, 1, 2].map(() => (
    gateways.start(kind, [script, script, script], MAXIMUM_ATTEMPTS)
  )));
  const gateway = await gateways.startCutOff(kind, others, MAXIMUM_ATTEMPTS);
  await gateway.call({ 'x-deadline': '1500' });
  expect(countRuns(others)).toBe(MAXIMUM_ATTEMPTS);
});

test('the only other entry gets all executions', async () => {
  const other = await gateways.start(IDEMPOTENT, [fail, fail, fail], MAXIMUM_ATTEMPTS);
  const gateway = await gateways.startCutOff(IDEMPOTENT, [other], MAXIMUM_ATTEMPTS);
  expect((await gateway.call()).status).toBe(500);
  expect(countRuns([other])).toBe(MAXIMUM_ATTEMPTS);
});

test('an execution is kept back for the loss of the entry that serves the request', async () => {
  const lost = await gateways.start(IDEMPOTENT, [hang, hang]);
  const third = await gateways.start(IDEMPOTENT, [serve]);
  const gateway = await gateways.startCutOff(IDEMPOTENT, [lost, third], MAXIMUM_ATTEMPTS);
  Object.assign(gateway.peerStateOf('entry-1'), { outstanding: 2 });
  setTimeout(() => lost.endFront(), 100);
  expect(await gateway.call()).toMatchObject({ status: 200 });
});

test('an entry that has lost its paths declines a request that may still run once', async () => {
  const reached = await gateways.start(IDEMPOTENT, [serve]);
  const second = await gateways.startCutOff(IDEMPOTENT, [], MAXIMUM_ATTEMPTS);
  const gateway = await gateways.startCutOff(IDEMPOTENT, [second, reached], MAXIMUM_ATTEMPTS);
  gateway.peers = gateway.peers.map((peer) => ({ ...peer, unreachable: [] }));
  Object.assign(gateway.peerStateOf('entry-1'), { outstanding: 2 });
  expect((await gateway.call()).status).toBe(200);
});

// An entry of an earlier build reads only how many executions count as used.
test.each([
  ['idempotent', IDEMPOTENT, 3, 1], ['once', ONCE, 3, 0], ['idempotent', IDEMPOTENT, 1, 0],
] as const)('an entry is told of a request %s which executions count as used', async (_name, kind, maximum, earlier) => {
  const told: unknown[] = [];
  const others = await Promise.all([0, 1].map(() => gateways.start(kind, [(incoming, outgoing) => {
    told.push(incoming.headers['x-earlier'], incoming.headers['x-run']);
    serve(incoming, outgoing);
  }])));
  const gateway = await gateways.startCutOff(kind, others, maximum);
  gateway.peers = gateway.peers.map((peer, index) => ({
    ...peer, forwardAddress: others[index]?.targetAddress(0) ?? null,
  }));
  await gateway.call();
  expect(told).toEqual([String(earlier), '0']);
});

test('a request that may have run is not refused as not run', async () => {
  const other = await gateways.startCutOff(IDEMPOTENT, [], MAXIMUM_ATTEMPTS);
  const send = async (headers: Record<string, string>) => {
    const { statusCode, body } = await request(`http://${String(other.asPeer('other').forwardAddress)}/a/b`, {
      method: 'POST', body: 'body', headers: { host: 'h', 'x-id': 'r1', ...headers },
    });
    await body.dump();
    return statusCode;
  };
  expect(await send({ 'x-earlier': '1', 'x-run': '0' })).toBe(503);
  expect(await send({ 'x-earlier': '1', 'x-run': '1' })).toBe(502);
  expect(await send({ 'x-earlier': '1' })).toBe(502);
});
