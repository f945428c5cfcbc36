import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, expect, test } from 'vitest';
import { OpenConnections, SystemClock } from '@dandelionlane/core';
import closeHTTP from '../lib/startup/closeHTTP.js';

const LARGE_ANSWER = 'x'.repeat(16 * 1_024 * 1_024);
const END = 'last byte';

let server: Server | undefined;
let socket: Socket | undefined;

afterEach(() => {
  socket?.destroy();
  server?.closeAllConnections();
  server?.close();
});

/** Starts a server with a large answer, and a connection that reads nothing yet. */
async function start() {
  const started = createServer((incoming, outgoing) => {
    incoming.resume();
    outgoing.end(`${LARGE_ANSWER}${END}`);
  });
  server = started;
  const connections = new OpenConnections(started);
  await new Promise<void>((resolve) => {
    started.listen(0, '127.0.0.1', resolve);
  });
  const caller = connect((started.address() as AddressInfo).port, '127.0.0.1');
  socket = caller;
  let tail = '';
  caller.on('data', (chunk: Buffer) => {
    tail = `${tail}${chunk.toString()}`.slice(-END.length);
  });
  caller.pause();
  const ended = new Promise<string>((resolve) => {
    caller.once('close', () => resolve(tail));
  });
  const close = (slowCallerTimeoutMilliseconds: number) => closeHTTP(connections, {
    clock: new SystemClock(), slowCallerTimeoutMilliseconds,
  });
  while (connections.count === 0) {
    await delay(5);
  }
  const send = async () => {
    caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
    while (connections.unsent === 0) {
      await delay(5);
    }
  };
  return {
    caller, close, send, ended, connections,
  };
}

// Guards against answers that are cut at a shutdown, as they have ended but not been sent.
test('a server that closes sends its answers first', async () => {
  const {
    caller, close, send, ended,
  } = await start();
  await send();
  const closed = close(60_000);
  caller.resume();
  expect(await ended).toBe(END);
  await closed;
});

// Guards against a shutdown that waits for a connection on which nothing was ever sent.
test('a connection that was never used does not hold a server that closes', async () => {
  const { close, connections } = await start();
  await close(60_000);
  expect(connections.count).toBe(0);
});

test('a caller that does not read holds a server that closes for a limited time', async () => {
  const { close, send, connections } = await start();
  await send();
  await close(200);
  expect(connections.count).toBe(0);
});
