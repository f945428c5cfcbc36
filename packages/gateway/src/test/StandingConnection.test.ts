import {
  createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  afterEach, expect, test, vi,
} from 'vitest';
import { ManualClock } from '@dandelionlane/core';
import StandingConnection from '../lib/targets/StandingConnection.js';

/** Longer than a connection and an answer may end one after the other and count as one event, in ms. */
const LATER_MILLISECONDS = 60;

const clock = new ManualClock();
const servers: Server[] = [];
const sockets: Socket[] = [];

afterEach(() => {
  sockets.splice(0).forEach((socket) => socket.destroy());
  servers.splice(0).forEach((server) => server.close());
});

/** Starts a target and a connection to it; `take` is called for each connection that the target takes. */
async function start(take: (socket: Socket, index: number) => void): Promise<StandingConnection> {
  let taken = 0;
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    take(socket, taken);
    taken += 1;
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return new StandingConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`, clock);
}

test('a connection that the target keeps is open', async () => {
  const connection = await start(() => undefined);
  await vi.waitUntil(() => sockets.length === 1);
  await sleep(20);
  expect(connection.take().state).toBe('open');
  connection.close();
});

// The end of a process was not told from a target that goes on, the less if another process came at once.
test('a connection that ends with its target is lost, even if another one is there at once', async () => {
  const connection = await start((socket, index) => {
    if (index === 0) {
      setTimeout(() => socket.destroy(), 20);
    }
  });
  await vi.waitUntil(() => sockets.length === 2);
  expect(connection.take().state).toBe('lost');
  connection.close();
});

test('a connection that the target closes while the answer goes on is opened again', async () => {
  const connection = await start((socket, index) => {
    if (index === 0) {
      setTimeout(() => socket.destroy(), 20);
    }
  });
  await vi.waitUntil(() => sockets.length === 2);
  await sleep(20);
  clock.advance(LATER_MILLISECONDS);
  expect(connection.take().state).toBe('open');
  connection.close();
});

test('a target at its limit rejects a connection, which is no sign of its end', async () => {
  const connection = await start((socket) => socket.resetAndDestroy());
  await vi.waitUntil(() => sockets.length === 2);
  await sleep(10);
  expect(connection.take().state).toBe('connecting');
  connection.close();
});
