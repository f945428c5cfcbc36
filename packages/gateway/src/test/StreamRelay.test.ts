import type { ServerResponse } from 'node:http';
import { afterEach, expect, test } from 'vitest';
import TestGateway, { type TargetScript } from './TestGateway.js';

const RESUMABLE = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const EVENTS = 6;

let gateway: TestGateway | undefined;

afterEach(() => gateway?.stop());

function event(id: number): string {
  return `id: ${id}\ndata: e${id}\n\n`;
}

function all(from = 1): string {
  return Array.from({ length: EVENTS - from + 1 }, (_, index) => event(from + index)).join('');
}

function begin(outgoing: ServerResponse): void {
  outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
}

/** Writes the events after the one that the request names. */
const whole: TargetScript = (incoming, outgoing) => {
  begin(outgoing);
  outgoing.end(all(Number(incoming.headers['last-event-id'] ?? 0) + 1));
};

/** Breaks off in the middle of the event after the given one. */
function breakAfter(id: number): TargetScript {
  return (_incoming, outgoing) => {
    begin(outgoing);
    outgoing.write(`${Array.from({ length: id }, (_, index) => event(index + 1)).join('')}id: ${id + 1}\nda`);
    setTimeout(() => outgoing.socket?.resetAndDestroy(), 20);
  };
}

/** Makes the gateway choose the first target first. */
function preferFirst(started: TestGateway): TestGateway {
  ['w1', 'w2'].forEach((name) => Object.assign(started.states.of(name as never), { outstanding: 2 }));
  return started;
}

test('a stream is passed on whole', async () => {
  gateway = await TestGateway.start(RESUMABLE, [whole]);
  expect(await gateway.call()).toMatchObject({ status: 200, body: all(), cut: false });
});

test('a broken stream resumes at another target without gap or repeat', async () => {
  gateway = preferFirst(await TestGateway.start(RESUMABLE, [breakAfter(3), whole]));
  expect(await gateway.call()).toMatchObject({ status: 200, body: all(), cut: false });
  expect(gateway.received).toEqual([1, 1]);
});

test('a stream that breaks before its first event is retried', async () => {
  gateway = preferFirst(await TestGateway.start(RESUMABLE, [breakAfter(0), whole]));
  expect(await gateway.call()).toMatchObject({ status: 200, body: all(), cut: false });
});

test('events that the caller has are not sent again', async () => {
  gateway = await TestGateway.start(RESUMABLE, [(_incoming, outgoing) => {
    begin(outgoing);
    outgoing.end(all());
  }]);
  expect((await gateway.call({ 'last-event-id': '4' })).body).toBe(all(5));
});

test('a stream with a missing event is cut', async () => {
  gateway = await TestGateway.start(RESUMABLE, [(_incoming, outgoing) => {
    begin(outgoing);
    outgoing.end(event(1) + event(3));
  }]);
  expect(await gateway.call()).toMatchObject({ body: event(1), cut: true });
});

test('a broken stream that is not resumable is cut and not retried', async () => {
  gateway = preferFirst(await TestGateway.start({ ...RESUMABLE, resumable: false }, [breakAfter(2), whole]));
  expect(await gateway.call()).toMatchObject({ body: event(1) + event(2), cut: true });
  expect(gateway.received).toEqual([1, 0]);
});

test('no more targets are tried than the route allows', async () => {
  gateway = preferFirst(await TestGateway.start(RESUMABLE, [breakAfter(1), breakAfter(1), whole], 1));
  expect((await gateway.call()).cut).toBe(true);
  expect(gateway.received.reduce((sum, count) => sum + count, 0)).toBe(1);
});

test('a target that did not run the stream does not count as an attempt', async () => {
  gateway = preferFirst(await TestGateway.start(RESUMABLE, [(_incoming, outgoing) => {
    outgoing.writeHead(503, { 'x-not-executed': '1' });
    outgoing.end();
  }, whole], 1));
  expect(await gateway.call()).toMatchObject({ status: 200, body: all() });
});

test('a resumed stream without a length does not end as complete at a target that has ended', async () => {
  gateway = preferFirst(await TestGateway.start(RESUMABLE, [breakAfter(2), (_incoming, outgoing) => {
    Object.assign(outgoing, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
    begin(outgoing);
    outgoing.end(event(3));
    gateway?.stopListening(1);
  }]));
  expect((await gateway.call()).cut).toBe(true);
});

test('a resumed stream without a length ends as complete at a target that goes on', async () => {
  gateway = preferFirst(await TestGateway.start(RESUMABLE, [breakAfter(2), (_incoming, outgoing) => {
    Object.assign(outgoing, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
    begin(outgoing);
    outgoing.end(event(3));
  }]));
  expect(await gateway.call()).toMatchObject({ body: event(1) + event(2) + event(3), cut: false });
});

/** Sets the number of requests at the only target. */
function setOutstanding(started: TestGateway, outstanding: number): void {
  Object.assign(started.states.of('w0' as never), { outstanding });
}

test('a stream waits for a free slot', async () => {
  gateway = await TestGateway.start(RESUMABLE, [whole]);
  setOutstanding(gateway, 8);
  const answer = gateway.call();
  setTimeout(() => setOutstanding(gateway as TestGateway, 0), 100);
  expect(await answer).toMatchObject({ status: 200, body: all() });
});

test('a stream that found no slot is refused with a Retry-After and not run', async () => {
  gateway = await TestGateway.start(RESUMABLE, [whole]);
  setOutstanding(gateway, 8);
  const answer = await gateway.call();
  expect(answer.status).toBe(429);
  expect(Number(answer.retryAfter)).toBeGreaterThan(0);
  expect(gateway.received).toEqual([0]);
});

test('targets where nobody listens are passed over, however many', async () => {
  const lost = 6;
  gateway = await TestGateway.start(RESUMABLE, Array.from({ length: lost + 1 }, () => whole));
  for (let index = 0; index < lost; index += 1) {
    gateway.stopTarget(index);
  }
  // Each call finds some of them; none fails.
  for (let call = 0; call < lost; call += 1) {
    expect(await gateway.call()).toMatchObject({ status: 200, body: all() });
  }
  expect(gateway.received.at(-1)).toBe(lost);
});

test('a target that is not the head of its group gets no more requests', async () => {
  gateway = preferFirst(await TestGateway.start(RESUMABLE, [(_incoming, outgoing) => {
    outgoing.writeHead(421, { 'x-id': 'r1' });
    outgoing.end();
  }, whole]));
  await gateway.call();
  const [tried] = gateway.received;
  await gateway.call();
  await gateway.call();
  expect(tried).toBe(1);
  expect(gateway.received).toEqual([1, 3]);
});

test('a stream that broke before its first event takes any slot', async () => {
  gateway = preferFirst(await TestGateway.start(RESUMABLE, [breakAfter(0), whole]));
  Object.assign(gateway.states.of('w1' as never), { outstanding: 5 });
  expect(await gateway.call()).toMatchObject({ status: 200, body: all() });
});

test('a broken stream waits for a slot to resume', async () => {
  gateway = preferFirst(await TestGateway.start(RESUMABLE, [breakAfter(3), whole]));
  const { states } = gateway;
  Object.assign(states.of('w1' as never), { outstanding: 20 });
  setTimeout(() => Object.assign(states.of('w1' as never), { outstanding: 0 }), 150);
  expect(await gateway.call()).toMatchObject({ status: 200, body: all(), cut: false });
});

test('a leaving entry refuses requests that it could not finish', async () => {
  gateway = await TestGateway.start(RESUMABLE, [whole]);
  gateway.leave(0, 1_000);
  const refused = await gateway.call();
  expect([refused.status, refused.retryAfter, gateway.received]).toEqual([503, '0.1', [0]]);
  const served = await gateway.call({ 'x-deadline': '500' });
  expect([served.status, served.body]).toEqual([200, all()]);
});

test('an entry that has just begun to leave still serves', async () => {
  gateway = await TestGateway.start(RESUMABLE, [whole]);
  gateway.leave(60_000, 1_000);
  expect((await gateway.call()).status).toBe(200);
});
