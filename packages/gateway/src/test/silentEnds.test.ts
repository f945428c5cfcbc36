import type { ServerResponse } from 'node:http';
import {
  connect, createServer, type AddressInfo, type Server,
} from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { WorkerId } from '@dandelionlane/core';
import type { RequestKind } from '@dandelionlane/fleet';
import TestGateway, { type TargetScript } from './TestGateway.js';
import TestGateways from './TestGateways.js';
import createEvents from './createEvents.js';
import endWithConnection from './endWithConnection.js';

const IDEMPOTENT = { kind: 'idempotent' } as const;
const ONCE = { kind: 'non-idempotent' } as const;
const STREAM = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const ONCE_STREAM = { ...STREAM, resumable: false } as const;
const SIGNED = { 'x-id': 'r1', 'x-signed': '1' };
const EVENTS = 4;

const WHOLE_STREAM = { status: 200, body: createEvents(1, EVENTS), cut: false };

const DEADLINE_MILLISECONDS = 5_000;
const DEADLINE = { 'x-deadline': String(DEADLINE_MILLISECONDS) };

/** Whether the address of the ended target leaves connections without an answer, or closes them. */
const WAYS = [['silent', false], ['closing', true]] as const;

const gateways = new TestGateways();

const fronts: Server[] = [];

afterEach(() => {
  gateways.stop();
  fronts.splice(0).forEach((front) => front.close());
});

function begin(outgoing: ServerResponse, bytes: string): void {
  endWithConnection(outgoing);
  outgoing.writeHead(200, { ...SIGNED, 'content-type': bytes.startsWith('id') ? 'text/event-stream' : 'text/plain' });
  outgoing.write(bytes);
}

/** Begins an answer that ends with its connection; `end` ends the target. */
function beginAnswer(bytes: string, end: () => void): TargetScript {
  return (_incoming, outgoing) => {
    begin(outgoing, bytes);
    setTimeout(end, 30);
  };
}

const whole: TargetScript = (_incoming, outgoing) => {
  begin(outgoing, 'whole ');
  outgoing.end('answer');
};

const wholeStream: TargetScript = (incoming, outgoing) => {
  begin(outgoing, createEvents(Number(incoming.headers['last-event-id'] ?? 0) + 1, EVENTS));
  outgoing.end();
};

/** Starts a gateway that takes its first target first, and has time to ask it. No answer is overdue. */
async function start(kind: RequestKind, scripts: readonly TargetScript[]): Promise<TestGateway> {
  const gateway = await gateways.start(kind, scripts, 2, 100, 0);
  gateway.reconfigure((configuration) => ({
    ...configuration,
    routes: configuration.routes.map((route) => ({ ...route, timeoutMilliseconds: DEADLINE_MILLISECONDS })),
  }));
  Object.assign(gateway.states.of('w1' as never), { outstanding: 2 });
  return gateway;
}

/** Streams of a service without groups. */
async function startPlainStreams(kind: RequestKind, scripts: readonly TargetScript[]): Promise<TestGateway> {
  const gateway = await start(kind, scripts);
  gateway.reconfigure((configuration) => ({
    ...configuration,
    services: new Map([...configuration.services].map(([id, service]) => [id, { ...service, engine: null }])),
  }));
  return gateway;
}

// Half of an answer was passed on as whole: a target that had lost its power did not refuse connections.
test.each(WAYS)('half of an answer of a target that ends and is %s is run again', async (_name, closes) => {
  const gateway: TestGateway = await start(IDEMPOTENT, [
    beginAnswer('half of an', () => void gateway.silenceTarget(0, closes)), whole,
  ]);
  expect(await gateway.call(DEADLINE)).toMatchObject({ status: 200, body: 'whole answer', cut: false });
});

test.each(WAYS)('half of an answer that may run once of a target that ends and is %s is a failure', async (_name, closes) => {
  const gateway: TestGateway = await start(ONCE, [
    beginAnswer('half of an', () => void gateway.silenceTarget(0, closes)), whole,
  ]);
  expect((await gateway.call(DEADLINE)).status).toBe(502);
  expect(gateway.received).toEqual([1, 0]);
});

test.each(WAYS)('a stream without groups of a target that ends and is %s goes on elsewhere', async (_name, closes) => {
  const gateway: TestGateway = await startPlainStreams(STREAM, [
    beginAnswer(createEvents(1, 2), () => void gateway.silenceTarget(0, closes)), wholeStream,
  ]);
  expect(await gateway.call(DEADLINE)).toMatchObject(WHOLE_STREAM);
});

test.each(WAYS)('a stream without groups that may run once of a target that ends and is %s is cut', async (_name, closes) => {
  const gateway: TestGateway = await startPlainStreams(ONCE_STREAM, [
    beginAnswer(createEvents(1, 2), () => void gateway.silenceTarget(0, closes)), wholeStream,
  ]);
  expect(await gateway.call(DEADLINE)).toMatchObject({ status: 200, body: createEvents(1, 2), cut: true });
});

// A process that started at the address meanwhile answered for the one that had ended.
test.each([
  ['is back', (gateway: TestGateway) => gateway.restartTarget(0, whole)],
  ['has left its address to another one', (gateway: TestGateway) => gateway.replaceTarget(0, whole)],
  // It answers before its registration is heard of.
  ['is back before its registration', (gateway: TestGateway) => gateway.restartTarget(0, whole, 100)],
])('half of an answer of a target that %s at once is a failure', async (_name, goOn) => {
  const gateway: TestGateway = await start(ONCE, [
    beginAnswer('half of an', () => {
      gateway.stopTarget(0);
      goOn(gateway);
    }), whole,
  ]);
  expect((await gateway.call(DEADLINE)).status).toBe(502);
});

test('whole answers without a length are passed on once, with and without groups', async () => {
  const plain = await start(ONCE, [whole, whole]);
  expect(await plain.call(DEADLINE)).toMatchObject({ status: 200, body: 'whole answer' });
  const stream = await startPlainStreams(STREAM, [wholeStream, wholeStream]);
  expect(await stream.call(DEADLINE)).toMatchObject(WHOLE_STREAM);
  expect([plain.received, stream.received]).toEqual([[1, 0], [1, 0]]);
});

// The check went over a connection from before the end, which the client did not take.
test('a whole answer whose end comes late is passed on', async () => {
  const late: TargetScript = (_incoming, outgoing) => {
    begin(outgoing, 'whole ');
    setTimeout(() => outgoing.end('answer'), 50);
  };
  const gateway = await start(ONCE, [late, whole]);
  expect(await gateway.call(DEADLINE)).toMatchObject({ status: 200, body: 'whole answer' });
  expect(gateway.received).toEqual([1, 0]);
});

/** Puts a front before a target that takes connections at once and joins them to it once they carry bytes. */
async function putFront(gateway: TestGateway, index: number): Promise<void> {
  const [host, port] = gateway.targetAddress(index).split(':');
  const front = createServer((near) => {
    near.on('error', () => undefined);
    near.once('data', (bytes) => {
      const far = connect(Number(port), host);
      far.on('error', () => near.destroy());
      far.write(bytes);
      near.pipe(far).pipe(near);
    });
  });
  fronts.push(front);
  await new Promise<void>((resolve) => {
    front.listen(0, '127.0.0.1', resolve);
  });
  const known = gateway.workers.get(WorkerId.parse(`w${index}`));
  if (known !== undefined) {
    gateway.workers.put({ ...known.worker, address: `127.0.0.1:${(front.address() as AddressInfo).port}` });
  }
}

// A connection from before the end of the target, which a front had taken, led to the next process.
test('half of an answer of a target behind a front that is back at once is a failure', async () => {
  const gateway: TestGateway = await start(ONCE, [
    beginAnswer('half of an', () => {
      gateway.stopTarget(0);
      gateway.restartTarget(0, whole);
    }), whole,
  ]);
  await putFront(gateway, 0);
  expect((await gateway.call(DEADLINE)).status).toBe(502);
});
