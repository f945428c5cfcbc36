import type { ServerResponse } from 'node:http';
import { request } from 'undici';
import { afterEach, expect, test } from 'vitest';
import TestGateway, { type TargetScript } from './TestGateway.js';

const PLAIN = { kind: 'idempotent' } as const;
const STREAM = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const CHUNK = Buffer.alloc(128 * 1_024, 0x61);

/** More than the gateway reads of an answer and the connection buffers on its way. */
const BOUND_BYTES = 48 * 1_024 * 1_024;

/** Memory for answers of a `TestGateway`. */
const MEMORY_BYTES = 20 * 1_024 * 1_024;

let gateway: TestGateway | undefined;

afterEach(() => gateway?.stop());

/** Endless output of a target: its bytes, and whether the gateway has closed the connection. */
class Flood {
  sent = 0;

  closed = false;

  /** Writes until the gateway closes the connection. */
  writeTo(outgoing: ServerResponse, next: () => Buffer): void {
    const write = () => {
      let hasCapacity = true;
      while (!this.closed && hasCapacity) {
        const bytes = next();
        this.sent += bytes.length;
        hasCapacity = outgoing.write(bytes);
      }
    };
    outgoing.on('drain', write);
    outgoing.on('close', () => {
      this.closed = true;
    });
    write();
  }

  async untilClosed(): Promise<void> {
    while (!this.closed) {
      await new Promise(setImmediate);
    }
  }
}

const healthy: TargetScript = (_incoming, outgoing) => {
  outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1' });
  outgoing.end('id: 1\ndata: e1\n\n');
};

function preferFirst(started: TestGateway): TestGateway {
  Object.assign(started.states.of('w1' as never), { outstanding: 2 });
  return started;
}

test.each([
  ['plain', PLAIN], ['stream', STREAM],
] as const)('an endless %s body is abandoned, and another target serves', async (_name, kind) => {
  const flood = new Flood();
  gateway = preferFirst(await TestGateway.start(kind, [(_incoming, outgoing) => {
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1' });
    flood.writeTo(outgoing, () => CHUNK);
  }, healthy]));
  const answer = await gateway.call({ 'x-deadline': '20000' });
  expect(answer).toMatchObject({ status: 200, body: 'id: 1\ndata: e1\n\n', cut: false });
  await flood.untilClosed();
  expect(flood.sent).toBeLessThan(BOUND_BYTES);
});

test.each([
  ['plain', PLAIN], ['stream', STREAM],
] as const)('an endless head of a %s target is abandoned, and another target serves', async (_name, kind) => {
  const flood = new Flood();
  gateway = preferFirst(await TestGateway.start(kind, [(incoming, outgoing) => {
    const { socket } = incoming;
    socket.write('HTTP/1.1 200 OK\r\n');
    let field = 0;
    flood.writeTo(socket as unknown as ServerResponse, () => {
      field += 1;
      return Buffer.from(`x-${field}: ${'a'.repeat(1_000)}\r\n`);
    });
    outgoing.on('close', () => undefined);
  }, healthy]));
  const answer = await gateway.call({ 'x-deadline': '20000' });
  expect(answer).toMatchObject({ status: 200, body: 'id: 1\ndata: e1\n\n', cut: false });
  await flood.untilClosed();
  expect(flood.sent).toBeLessThan(BOUND_BYTES);
});

test('a stream that repeats an event endlessly is cut at its deadline', async () => {
  const flood = new Flood();
  gateway = await TestGateway.start(STREAM, [(_incoming, outgoing) => {
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
    flood.writeTo(outgoing, () => Buffer.from('id: 1\ndata: e1\n\n'));
  }]);
  const answer = await gateway.call({ 'x-deadline': '500' });
  expect(answer).toMatchObject({ body: 'id: 1\ndata: e1\n\n', cut: true });
  await flood.untilClosed();
});

const INTERIM_HEADS = Buffer.from('HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n'.repeat(900));

// One worker in trouble held all requests of an entry up: each of its heads was read on, up to the deadline.
test.each([
  ['plain', PLAIN], ['stream', STREAM],
] as const)('endless interim heads of a %s target are abandoned, and another target serves', async (_name, kind) => {
  const flood = new Flood();
  gateway = preferFirst(await TestGateway.start(kind, [(incoming) => {
    flood.writeTo(incoming.socket as unknown as ServerResponse, () => INTERIM_HEADS);
  }, healthy]));
  const answer = await gateway.call({ 'x-deadline': '20000' });
  expect(answer).toMatchObject({ status: 200, body: 'id: 1\ndata: e1\n\n', cut: false });
  await flood.untilClosed();
  expect(flood.sent).toBeLessThan(BOUND_BYTES);
});

test('a few interim heads come before an answer', async () => {
  gateway = await TestGateway.start(PLAIN, [(incoming, outgoing) => {
    incoming.socket.write('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(3));
    healthy(incoming, outgoing);
  }]);
  expect((await gateway.call()).status).toBe(200);
});

const FLOODS = 8;

// The limit of one answer was no bound for an entry: 120 such answers took it over the memory of its machine.
test('endless bodies at once stay within the memory for answers, and others are served', async () => {
  const floods: Flood[] = [];
  const started = await TestGateway.start({ kind: 'non-idempotent' }, [(incoming, outgoing) => {
    if (incoming.headers['x-id'] === 'sound') {
      outgoing.writeHead(200, { 'x-id': 'sound', 'x-signed': '1' }).end('sound');
      return;
    }
    const flood = new Flood();
    floods.push(flood);
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1' });
    flood.writeTo(outgoing, () => CHUNK);
  }], 1, 100, 0);
  gateway = started;
  let most = 0;
  const timer = setInterval(() => {
    most = Math.max(most, started.answerMemory.bytes);
  }, 1);
  const calls = Array.from({ length: FLOODS }, () => started.call());
  expect(await started.call({ 'x-id': 'sound' })).toMatchObject({ status: 200, body: 'sound' });
  expect((await Promise.all(calls)).map(({ status }) => status)).toEqual(Array(FLOODS).fill(502));
  clearInterval(timer);
  await Promise.all(floods.map((flood) => flood.untilClosed()));
  expect(most).toBeLessThanOrEqual(MEMORY_BYTES);
  expect(started.answerMemory.bytes).toBe(0);
});

// A caller that does not read keeps the whole answer in the memory of the entry.
test('of answers that are not read the largest one is cut', async () => {
  const started = await TestGateway.start(PLAIN, [(incoming, outgoing) => {
    const bytes = Buffer.alloc(Number(incoming.headers['x-id']) * 1_024 * 1_024, 0x61);
    outgoing.writeHead(200, { 'x-id': incoming.headers['x-id'], 'x-signed': '1' }).end(bytes);
  }]);
  gateway = started;
  const open = (mebibytes: number) => request(`http://${started.address}/a/b`, {
    method: 'POST', headers: { host: 'h', 'x-id': String(mebibytes) }, body: 'body',
  });
  const large = await open(14);
  const small = await open(10);
  await expect(large.body.arrayBuffer()).rejects.toThrow();
  expect((await small.body.arrayBuffer()).byteLength).toBe(10 * 1_024 * 1_024);
});

test.each([
  ['comments', ': comment\n\n'], ['empty events', '\n\n'],
])('endless %s in a stream are abandoned, and another target goes on', async (_name, bytes) => {
  const flood = new Flood();
  gateway = preferFirst(await TestGateway.start(STREAM, [(_incoming, outgoing) => {
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
    flood.writeTo(outgoing, () => Buffer.from(bytes.repeat(100)));
  }, healthy]));
  const answer = await gateway.call({ 'x-deadline': '20000' });
  expect(answer.status).toBe(200);
  expect(answer.cut).toBe(false);
  expect(answer.body.endsWith('id: 1\ndata: e1\n\n')).toBe(true);
  await flood.untilClosed();
  expect(flood.sent).toBeLessThan(BOUND_BYTES);
});
