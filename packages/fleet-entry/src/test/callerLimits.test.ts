import {
  Agent, request as sendRequest, type ClientRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import { once } from 'node:events';
import { text } from 'node:stream/consumers';
import {
  afterEach, expect, test, vi,
} from 'vitest';
import { ConfigurationHolder, type FleetConfiguration } from '@dandelionlane/fleet';
import CallerServer from '../lib/CallerServer.js';

const LONG_MILLISECONDS = 60_000;

/** Longer than connections are kept where the idle timeout is short. */
const IDLE_MILLISECONDS = 2_500;

type Handler = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

const HOST = '127.0.0.1';

let server: CallerServer | undefined;
let port = 0;
let requests = 0;
let agent: Agent | undefined;

afterEach(() => {
  agent?.destroy();
  server?.stopListening();
  server?.closeUnused();
});

function createConfiguration(version: number, milliseconds: number): FleetConfiguration {
  return {
    version,
    routes: [],
    services: new Map(),
    teams: [],
    limits: {
      maximumBodyBytes: 1_000, headerTimeoutMilliseconds: milliseconds, idleTimeoutMilliseconds: milliseconds,
    },
  };
}

/** Starts a server whose connections may idle for a time. Returns what changes that time. */
async function start(milliseconds: number, handler: Handler): Promise<(milliseconds: number) => void> {
  const configuration = new ConfigurationHolder();
  let version = 1;
  configuration.accept(createConfiguration(version, milliseconds));
  requests = 0;
  server = new CallerServer({
    inFlight: 0,
    endAll: () => undefined,
    handle: (incoming, outgoing) => {
      requests += 1;
      handler(incoming, outgoing);
      return Promise.resolve();
    },
  }, configuration);
  port = await server.listen({ host: HOST, port: 0 });
  agent = new Agent({ keepAlive: true, maxSockets: 1 });
  return (changed) => {
    version += 1;
    configuration.accept(createConfiguration(version, changed));
  };
}

function open(path: string, connections: Agent | undefined = agent): ClientRequest {
  return sendRequest({
    host: HOST, port, path, method: 'POST', agent: connections, headers: { 'content-length': 4 },
  });
}

async function readAnswer(outgoing: ClientRequest): Promise<string> {
  const [incoming] = await once(outgoing, 'response') as [IncomingMessage];
  return text(incoming);
}

async function send(outgoing: ClientRequest): Promise<string> {
  const answer = readAnswer(outgoing);
  outgoing.end('body');
  return answer;
}

function idle(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, IDLE_MILLISECONDS);
  });
}

const answering: Handler = (incoming, outgoing) => {
  incoming.resume();
  incoming.once('end', () => outgoing.end('answer'));
};

// Guards against limits that are applied to connections which are not idle.
test('limits that become shorter do not end a request whose body is half read', async () => {
  const change = await start(LONG_MILLISECONDS, answering);
  const outgoing = open('/half');
  const answer = readAnswer(outgoing);
  outgoing.write('bo');
  await vi.waitUntil(() => requests === 1);
  change(1);
  await send(open('/', new Agent()));
  await idle();
  outgoing.end('dy');
  expect(await answer).toBe('answer');
});

test('limits that become shorter do not end an answer that pauses', async () => {
  let finish = () => undefined as void;
  const change = await start(LONG_MILLISECONDS, (incoming, outgoing) => {
    if (incoming.url !== '/pausing') {
      answering(incoming, outgoing);
      return;
    }
    incoming.resume();
    outgoing.write('ans');
    finish = () => outgoing.end('wer');
  });
  // The connection has idled under the longer limits before.
  await send(open('/'));
  const outgoing = open('/pausing');
  const answer = send(outgoing);
  await once(outgoing, 'response');
  change(1);
  await send(open('/', new Agent()));
  await idle();
  finish();
  expect(await answer).toBe('answer');
  expect(outgoing.reusedSocket).toBe(true);
});

test('a connection that idles when the timeout becomes shorter is kept for the former one', async () => {
  const change = await start(LONG_MILLISECONDS, answering);
  await send(open('/'));
  change(1);
  await send(open('/', new Agent()));
  await idle();
  const outgoing = open('/');
  expect(await send(outgoing)).toBe('answer');
  expect(outgoing.reusedSocket).toBe(true);
});

test('a connection that is used after the timeout has become longer is kept for the new one', async () => {
  const change = await start(1_000, answering);
  await send(open('/'));
  change(LONG_MILLISECONDS);
  // The first answer still states the former timeout, which callers respect.
  await send(open('/'));
  await send(open('/'));
  await idle();
  const outgoing = open('/');
  expect(await send(outgoing)).toBe('answer');
  expect(outgoing.reusedSocket).toBe(true);
});
