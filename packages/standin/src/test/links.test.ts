import { connect, createServer, type AddressInfo } from 'node:net';
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { Client, request } from 'undici';
import {
  type LinkHandle, type PlatformHandle, startLink, startPlatform,
} from '../index.js';

let platform: PlatformHandle;
let link: LinkHandle;

beforeEach(async () => {
  const started = await startPlatform({}).andThen((handle) => startLink({ target: handle.address })
    .map((opened) => [handle, opened] as const));
  [platform, link] = started.match((handles) => handles, (error) => {
    throw new Error(error.message);
  });
});

afterEach(async () => {
  await link.close();
  await platform.close();
});

async function ask(): Promise<number> {
  const answer = await request(`http://${link.address}/counters`, { reset: true });
  await answer.body.dump();
  return answer.statusCode;
}

test('open link passes on', async () => {
  expect(await ask()).toBe(200);
});

test.each(['silent', 'one-way'] as const)('%s link answers when it opens', async (state) => {
  link.setState(state);
  const answered: number[] = [];
  const held = ask().then((status) => answered.push(status));
  await expect(request(`http://${link.address}/counters`, { signal: AbortSignal.timeout(50) })).rejects.toThrow();
  expect(answered).toEqual([]);
  link.setState('open');
  await held;
  expect(answered).toEqual([200]);
});

test('refused link takes no connection until it opens', async () => {
  link.setState('refused');
  await expect(ask()).rejects.toThrow();
  link.setState('open');
  expect(await ask()).toBe(200);
});

test('a link that is reset takes no connection until it opens', async () => {
  link.setState('reset');
  await expect(ask()).rejects.toThrow();
  link.setState('open');
  expect(await ask()).toBe(200);
});

test('an established link goes on with open connections and takes no new ones', async () => {
  const client = new Client(`http://${link.address}`);
  const askAgain = async () => {
    const answer = await client.request({ method: 'GET', path: '/counters' });
    await answer.body.dump();
    return answer.statusCode;
  };
  expect(await askAgain()).toBe(200);
  link.setState('established');
  expect(await askAgain()).toBe(200);
  await expect(ask()).rejects.toThrow();
  await client.close();
});

test('a link is cut for the connections from one address only', async () => {
  link.setState('reset', '127.0.0.9');
  const askFrom = async (localAddress: string) => {
    const client = new Client(`http://${link.address}`, { localAddress });
    try {
      const answer = await client.request({ method: 'GET', path: '/counters' });
      await answer.body.dump();
      return answer.statusCode;
    } finally {
      await client.destroy();
    }
  };
  await expect(askFrom('127.0.0.9')).rejects.toThrow();
  expect(await askFrom('127.0.0.1')).toBe(200);
  link.setState('open', '127.0.0.9');
  expect(await askFrom('127.0.0.9')).toBe(200);
});

test('closed target closes the connection', async () => {
  await platform.close();
  await expect(ask()).rejects.toThrow();
});

test('bytes keep their order when a slow link becomes fast', async () => {
  const received: Buffer[] = [];
  const server = createServer((socket) => {
    socket.on('data', (chunk) => received.push(chunk));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const slow = (await startLink({ target: `127.0.0.1:${(server.address() as AddressInfo).port}` }))._unsafeUnwrap();
  const [host, port] = slow.address.split(':');
  const socket = connect(Number(port), host);
  slow.setState('slow');
  socket.write('first ');
  await vi.waitFor(() => expect(socket.bytesWritten).toBe(6));
  await new Promise(setImmediate);
  slow.setState('open');
  socket.write('second');
  await vi.waitFor(() => expect(Buffer.concat(received).toString()).toBe('first second'));
  socket.destroy();
  await slow.close();
  server.close();
});

test('a mute link takes connections and leaves them without an answer until it opens', async () => {
  link.setState('mute');
  await expect(request(`http://${link.address}/counters`, { signal: AbortSignal.timeout(50) })).rejects.toThrow();
  const held = ask();
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  link.setState('open');
  await expect(held).rejects.toThrow();
  expect(await ask()).toBe(200);
});
