import type { ServerResponse } from 'node:http';
import { afterEach, expect, test } from 'vitest';
import TestGateway, { type TargetScript } from './TestGateway.js';

const PLAIN = { kind: 'idempotent' } as const;
const STREAM = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const CHUNK = Buffer.alloc(128 * 1_024, 0x61);

/** More than the gateway reads of an answer and the connection buffers on its way. */
const BOUND_BYTES = 48 * 1_024 * 1_024;

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
