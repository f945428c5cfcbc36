import { connect } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import TestGateway, { type TargetScript } from './TestGateway.js';

const RESUMABLE = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

let gateway: TestGateway | undefined;

afterEach(() => gateway?.stop());

/** Writes a refusal that belongs to an earlier request. */
function refuseEarlier(status: number): TargetScript {
  return (_incoming, outgoing) => {
    outgoing.writeHead(status, { 'x-id': 'earlier', 'x-not-executed': '1', 'x-pause': '60000' });
    outgoing.end();
  };
}

// Guards against 'not run' for a request that a target runs: it wrote an earlier refusal once more.
test.each([503, 429, 421])('a refusal %i of another request says nothing about this one', async (status) => {
  gateway = await TestGateway.start({ kind: 'non-idempotent' }, [refuseEarlier(status), refuseEarlier(status)]);
  expect((await gateway.call()).status).toBe(502);
  expect(gateway.received.reduce((sum, count) => sum + count)).toBe(1);
});

// Guards against a pause or a limit that is taken from an answer of another time.
test('a refusal of another request holds nothing off', async () => {
  gateway = await TestGateway.start({ kind: 'idempotent' }, [refuseEarlier(429)]);
  await gateway.call();
  const { states } = gateway;
  expect(states.of('w0' as never).isHeldOff).toBe(false);
});

// Guards against the text of an error in the middle of a stream.
test.each([
  [500, 'text/plain', '1'], [200, 'application/json', '1'], [503, 'text/plain', undefined],
])('an answer %i of %s does not go on with a stream that broke off', async (status, type, signed) => {
  const begin: TargetScript = (_incoming, outgoing) => {
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
    outgoing.write('id: 1\ndata: a\n\n');
    setTimeout(() => outgoing.destroy(), 20);
  };
  const fail: TargetScript = (_incoming, outgoing) => {
    outgoing.writeHead(status, {
      'x-id': 'r1', 'content-type': type, ...(signed === undefined ? {} : { 'x-signed': signed }),
    });
    outgoing.end('{"error":"out of memory"}\n\n');
  };
  gateway = await TestGateway.start(RESUMABLE, [begin, fail]);
  Object.assign(gateway.states.of('w1' as never), { outstanding: 2 });
  expect(await gateway.call()).toMatchObject({ status: 200, body: 'id: 1\ndata: a\n\n', cut: true });
});

test('a stream without a length that ends inside an event is cut', async () => {
  gateway = await TestGateway.start({ ...RESUMABLE, resumable: false }, [(_incoming, outgoing) => {
    Object.assign(outgoing, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
    outgoing.end(`${EVENTS}id: 3\nda`);
  }]);
  const [host = '', port = ''] = gateway.address.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  socket.on('data', (chunk) => {
    received += String(chunk);
  });
  socket.write('POST /a/b HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n');
  const end = await new Promise((resolve) => {
    socket.once('error', (error: NodeJS.ErrnoException) => resolve(error.code));
    socket.once('end', () => resolve('end'));
  });
  // The whole events are the last chunk that is there: the one that ends the answer is missing.
  expect([received.endsWith(`${EVENTS}\r\n`) || received === '', end]).toEqual([true, 'ECONNRESET']);
});
