import {
  createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { Agent } from 'undici';
import { SeededRandom } from '@dandelionlane/core';
import createRequest from '../lib/callers/createRequest.js';
import exchange from '../lib/callers/exchange.js';

let server: Server | null = null;
const agent = new Agent();

afterEach(() => {
  server?.close();
});

async function listen(take: (socket: Socket) => void): Promise<string> {
  const started = createServer({ pauseOnConnect: true }, take);
  server = started;
  await new Promise<void>((resolve) => {
    started.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(started.address() as AddressInfo).port}`;
}

function send(address: string, overLink = false) {
  return exchange(createRequest({
    id: 'r1', kind: 'safe', entry: 'e', overLink,
  }, new SeededRandom(1)), address, agent);
}

function closeAfterRead(socket: Socket): void {
  socket.on('data', () => socket.destroy()).resume();
}

test('a request whose connection is closed after it was read is noted as read', async () => {
  expect(await send(await listen(closeAfterRead))).toMatchObject({ kind: 'disconnected', read: true });
});

test('a request whose connection is reset or refused is not noted as read', async () => {
  const address = await listen((socket) => {
    // The request waits unread when the connection is closed.
    setTimeout(() => socket.destroy(), 50);
  });
  expect(await send(address)).toMatchObject({ kind: 'disconnected', read: false });
  server?.close();
  expect(await send(address)).toMatchObject({ kind: 'disconnected', read: false });
});

test('a request over a link is not noted as read', async () => {
  expect(await send(await listen(closeAfterRead), true)).toMatchObject({ kind: 'disconnected', read: false });
});

test('an answer that ends early is noted as a part', async () => {
  const address = await listen((socket) => {
    socket.on('data', () => {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart');
    }).resume();
  });
  expect(await send(address)).toMatchObject({ kind: 'answered', status: 200, whole: false });
});
