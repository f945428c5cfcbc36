import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { Agent } from 'undici';
import { afterEach, expect, test } from 'vitest';
import sendJSON from '../lib/http/sendJSON.js';

const HEADS = Buffer.from('HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n'.repeat(900));
const TIMEOUT_MILLISECONDS = 20_000;

let server: Server | undefined;

afterEach(() => server?.close());

/** Writes interim heads until the connection is closed. */
function flood(socket: Socket): void {
  if (!socket.destroyed) {
    if (socket.write(HEADS)) {
      setImmediate(() => flood(socket));
    } else {
      socket.once('drain', () => flood(socket));
    }
  }
}

// Guards against a worker or a store whose interim heads take all of the processor until the call times out.
test('interim heads without an end fail a call at once', async () => {
  const sockets: Socket[] = [];
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => flood(socket));
  });
  await new Promise<void>((resolve) => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  const agent = new Agent();
  const { port } = server.address() as AddressInfo;
  const answer = await sendJSON(agent, {
    method: 'GET', origin: `http://127.0.0.1:${port}`, path: '/', timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  expect(answer._unsafeUnwrapErr().message).toContain('too many interim heads');
  expect(sockets).toHaveLength(1);
  await agent.destroy();
});
