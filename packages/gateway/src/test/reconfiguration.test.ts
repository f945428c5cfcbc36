import { request as sendRequest, type ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';
import {
  afterEach, expect, test, vi,
} from 'vitest';
import { ServiceId, TeamId } from '@dandelionlane/core';
import type { FleetConfiguration, RequestKind, Route } from '@dandelionlane/fleet';
import TestGateway, { type CallerAnswer, type TargetScript } from './TestGateway.js';

const STREAM = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const SAFE = { kind: 'idempotent' } as const;
const UNSAFE = { kind: 'non-idempotent' } as const;
const EVENTS = ['id: 1\ndata: e1\n\n', 'id: 2\ndata: e2\n\n', 'id: 3\ndata: e3\n\n'];
/** More requests than a target takes. */
const FULL = 100;

const DEADLINE_MILLISECONDS = 30_000;

/** Time for which a request goes on under the changed configuration before its target does, in ms. */
const SETTLING_MILLISECONDS = 100;

let gateway: TestGateway | undefined;

/** Lets the targets go on. */
let release = () => undefined as void;

/** Resolves once they may. */
let released = Promise.resolve();

afterEach(() => gateway?.stop());

type Change = (configuration: FleetConfiguration) => FleetConfiguration;

function changeRoutes(change: (route: Route) => Partial<Route>): Change {
  return (configuration) => ({
    ...configuration,
    routes: configuration.routes.map((route) => ({ ...route, ...change(route) })),
  });
}

const CHANGES: readonly (readonly [string, Change])[] = [
  ['a shorter route timeout', changeRoutes(() => ({ timeoutMilliseconds: 1 }))],
  ['fewer attempts', changeRoutes(() => ({ maximumAttempts: 1 }))],
  ['another kind of request', changeRoutes(({ request }) => ({ request: request.kind === 'stream' ? UNSAFE : STREAM }))],
  ['another target latency', changeRoutes(() => ({ targetLatencyMilliseconds: 1 }))],
  ['a route to another service', changeRoutes(() => ({ services: [{ service: ServiceId.parse('other'), weight: 1 }] }))],
  ['weights of zero', changeRoutes(({ services }) => ({ services: services.map((each) => ({ ...each, weight: 0 })) }))],
  ['the removal of the route', (configuration) => ({ ...configuration, routes: [] })],
  ['the removal of the service', (configuration) => ({ ...configuration, services: new Map() })],
  ['the removal of its key', (configuration) => ({
    ...changeRoutes(() => ({ anonymous: false }))(configuration),
    teams: [{ id: TeamId.parse('t'), apiKeys: ['k'], priority: 1 }],
  })],
  ['lower limits', (configuration) => ({
    ...configuration,
    limits: { maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  })],
];

function begin(outgoing: ServerResponse): void {
  outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
}

/** Sends the first event that the caller lacks, and the others once they are released. */
const holding: TargetScript = (incoming, outgoing) => {
  const [first, ...others] = EVENTS.slice(Number(incoming.headers['last-event-id'] ?? 0));
  begin(outgoing);
  outgoing.write(first);
  void released.then(() => outgoing.end(others.join('')));
};

/** Breaks off after the first event. */
const breaking: TargetScript = (_incoming, outgoing) => {
  begin(outgoing);
  outgoing.write(EVENTS[0], () => outgoing.destroy());
};

/** Answers whole once that is released. */
const answeringLate: TargetScript = (_incoming, outgoing) => {
  void released.then(() => {
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-length': EVENTS.join('').length });
    outgoing.end(EVENTS.join(''));
  });
};

/** Sets the number of requests that other callers have at a target. */
function fill(target: number, outstanding: number): void {
  Object.assign(gateway?.states.of(`w${target}` as never) ?? {}, { outstanding });
}

async function start(kind: RequestKind, ...targets: readonly TargetScript[]): Promise<TestGateway> {
  released = new Promise((resolve) => {
    release = resolve;
  });
  // A safe request with one target gets all of its time there.
  gateway = await TestGateway.start(kind, targets, kind.kind === 'stream' ? 2 : 1);
  gateway.reconfigure(changeRoutes(() => ({ timeoutMilliseconds: DEADLINE_MILLISECONDS })));
  // The first target is chosen first.
  targets.slice(1).forEach((_target, index) => fill(index + 1, 2));
  return gateway;
}

function call(started: TestGateway): Promise<CallerAnswer> {
  return started.call({ 'x-deadline': String(DEADLINE_MILLISECONDS) });
}

async function waitUntil(isSo: () => boolean): Promise<void> {
  await vi.waitUntil(isSo, { timeout: 20_000, interval: 5 });
}

/** Changes the configuration while a request is under way and expects the whole answer to it. */
async function expectWhole(
  started: TestGateway,
  change: Change,
  answer: Promise<CallerAnswer>,
): Promise<void> {
  started.reconfigure(change);
  await new Promise((resolve) => {
    setTimeout(resolve, SETTLING_MILLISECONDS);
  });
  started.received.forEach((_count, target) => fill(target, 0));
  release();
  expect(await answer).toMatchObject({ status: 200, body: EVENTS.join(''), cut: false });
}

// Guards against configuration changes that end requests which were accepted before them.
test.each(CHANGES)('%s does not end a stream that its target holds up', async (_name, change) => {
  const started = await start(STREAM, holding);
  const answer = call(started);
  await waitUntil(() => started.received[0] === 1);
  await expectWhole(started, change, answer);
});

test.each(CHANGES)('%s does not end a safe request', async (_name, change) => {
  const started = await start(SAFE, answeringLate);
  const answer = call(started);
  await waitUntil(() => started.received[0] === 1);
  await expectWhole(started, change, answer);
});

test.each(CHANGES)('%s does not end an unsafe request', async (_name, change) => {
  const started = await start(UNSAFE, answeringLate);
  const answer = call(started);
  await waitUntil(() => started.received[0] === 1);
  await expectWhole(started, change, answer);
});

test.each(CHANGES)('%s does not end a request that waits for a target', async (_name, change) => {
  const started = await start(STREAM, holding);
  fill(0, FULL);
  const answer = call(started);
  await waitUntil(() => started.waiting === 1);
  await expectWhole(started, change, answer);
});

test.each(CHANGES)('%s does not end a stream between two targets', async (_name, change) => {
  const started = await start(STREAM, breaking, holding);
  fill(1, FULL);
  const answer = call(started);
  await waitUntil(() => started.waiting === 1);
  await expectWhole(started, change, answer);
  expect(started.received).toEqual([1, 1]);
});

test.each(CHANGES)('%s does not end a request whose body is half read', async (_name, change) => {
  const started = await start(UNSAFE, answeringLate);
  const [host, port] = started.address.split(':');
  const outgoing = sendRequest({
    host,
    port,
    method: 'POST',
    path: '/a/b',
    headers: {
      host: 'h', 'x-id': 'r1', 'x-deadline': DEADLINE_MILLISECONDS, 'content-length': 8,
    },
  });
  const answer = new Promise<CallerAnswer>((resolve, reject) => {
    outgoing.once('error', reject);
    outgoing.once('response', (incoming) => {
      void text(incoming).then((body) => resolve({
        status: incoming.statusCode ?? 0, body, cut: !incoming.complete, retryAfter: null,
      }), reject);
    });
  });
  outgoing.write('half');
  await waitUntil(() => started.inFlight === 1);
  started.reconfigure(change);
  outgoing.end('half');
  await expectWhole(started, (configuration) => configuration, answer);
});

test.each([
  ['removed', (started: TestGateway) => started.removeTarget(0)],
  ['leaving', (started: TestGateway) => started.workers.markLeaving({ id: 'w0' as never, bornAt: 1 })],
])('a target that is %s goes on with its requests', async (_name, withdraw) => {
  const started = await start(STREAM, holding);
  const answer = call(started);
  await waitUntil(() => started.received[0] === 1);
  withdraw(started);
  await expectWhole(started, (configuration) => configuration, answer);
});
