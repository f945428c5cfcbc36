import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, test } from 'vitest';
import LeavingServer, { LATE_ANSWER, type Handler } from './LeavingServer.js';

const LARGE_ANSWER = 'x'.repeat(16 * 1_024 * 1_024);
const END = 'last byte';

let server: LeavingServer | undefined;

afterEach(() => server?.close());

async function start(handler: Handler): Promise<LeavingServer> {
  server = new LeavingServer(handler);
  await server.listen();
  return server;
}

function answerAfter(milliseconds: number): Handler {
  return async (outgoing: ServerResponse) => {
    await sleep(milliseconds);
    outgoing.setHeader('connection', 'close');
    outgoing.end(END);
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(5);
  }
}

// Guards against requests that ran and got no answer, as the process ended after a last call to the store.
test('a request that is read while the store is awaited gets its answer', async () => {
  const leaving = await start(answerAfter(200));
  const caller = await leaving.connect();
  await leaving.leave({
    deregister: async () => {
      caller.send();
      await sleep(100);
    },
  });
  expect(leaving.started).toBe(1);
  expect(await caller.received).toContain(END);
});

// Guards against requests that ran and got no answer, as they were read while the log was flushed.
test('no request is read after an entry has left', async () => {
  const leaving = await start(answerAfter(200));
  const caller = await leaving.connect();
  await leaving.leave({
    flush: async () => {
      caller.send();
      await sleep(100);
    },
  });
  expect(leaving.started).toBe(0);
  expect(await caller.received).toBe('');
});

// Guards against answers that are cut as the process ends before they have left it.
test('an answer that has not been sent is waited for', async () => {
  const leaving = await start((outgoing) => {
    outgoing.end(`${LARGE_ANSWER}${END}`);
    return Promise.resolve();
  });
  const caller = await leaving.connect();
  caller.socket.pause();
  caller.send();
  await waitUntil(() => leaving.started === 1);
  let hasLeft = false;
  const left = leaving.leave().then(() => {
    hasLeft = true;
  });
  await waitUntil(() => hasLeft || leaving.clock.monotonicMilliseconds() > 5_000);
  caller.socket.resume();
  await left;
  expect((await caller.received).endsWith(END)).toBe(true);
});

// Guards against requests that ran and got no answer, as their entry ended at the end of the grace period.
test('a request that outlasts the grace period gets an answer', async () => {
  const leaving = await start(() => new Promise(() => {
    // Simulates a target that does not answer.
  }));
  const caller = await leaving.connect();
  caller.send();
  await waitUntil(() => leaving.started === 1);
  expect(await leaving.leave()).toBeLessThan(8_000);
  expect(await caller.received).toContain(LATE_ANSWER);
});

test.each([
  ['that has sent nothing', 0], ['that waits after an answer', 1],
])('a connection %s does not delay leaving', async (_name, requests) => {
  const leaving = await start((outgoing) => {
    outgoing.end(END);
    return Promise.resolve();
  });
  const caller = await leaving.connect();
  if (requests > 0) {
    caller.send();
  }
  await waitUntil(() => leaving.started === requests);
  expect(await leaving.leave()).toBeLessThan(7_000);
  expect(leaving.callers.open).toBe(0);
});

test.each([
  ['head', 'POST / HTTP/1.1\r\nho', 'st: h\r\ncontent-length: 4\r\n\r\nbody'],
  ['body', 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbo', 'dy'],
])('a request whose %s has been read in part is waited for', async (_name, first, rest) => {
  const leaving = await start(answerAfter(100));
  const caller = await leaving.connect();
  const left = leaving.leave();
  await waitUntil(() => leaving.clock.monotonicMilliseconds() > 3_000);
  caller.socket.write(first);
  await waitUntil(() => leaving.clock.monotonicMilliseconds() > 5_500);
  caller.socket.write(rest);
  await left;
  expect(await caller.received).toContain(END);
});

test('a listener that has stopped leaves unsent answers alone', async () => {
  const leaving = await start((outgoing) => {
    outgoing.end(`${LARGE_ANSWER}${END}`);
    return Promise.resolve();
  });
  const caller = await leaving.connect();
  caller.socket.pause();
  caller.send();
  await waitUntil(() => leaving.started === 1);
  leaving.callers.stopListening();
  leaving.callers.closeUnused();
  caller.socket.resume();
  await waitUntil(() => leaving.callers.inFlight === 0);
  leaving.callers.closeUnused();
  expect((await caller.received).endsWith(END)).toBe(true);
});
