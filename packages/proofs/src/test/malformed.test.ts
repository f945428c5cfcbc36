import { connect } from 'node:net';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { HEADERS } from '@dandelionlane/core';
import createVMs from './createVMs.js';
import services from './services.js';
import TestSystem from './TestSystem.js';

const SEED = 20_261_204;
const LIVE_RUNS = 200;
const ECHO = '/v1/services/slots/echo';

const words = fc.constantFrom(
  'GET ',
  'POST ',
  'PUT ',
  '/v1/chat/completions',
  '/v1/services/',
  '/v1/services/slots',
  '/v1/entries?service=',
  '%',
  '%zz',
  '%00',
  '\0',
  ' HTTP/1.1\r\n',
  ' HTTP/9\r\n',
  '\r\n',
  '\n',
  'host: x\r\n',
  `${HEADERS.team}: desk\r\n`,
  `${HEADERS.team}: \r\n`,
  `${HEADERS.requestId}: \t!\r\n`,
  `${HEADERS.timeout}: -1\r\n`,
  `${HEADERS.timeout}: NaN\r\n`,
  `${HEADERS.idempotencyKey}: ""\r\n`,
  `${HEADERS.forwardedBy}: ?\r\n`,
  'content-length: 5\r\n',
  'content-length: -1\r\n',
  'transfer-encoding: chunked\r\n',
  'upgrade: websocket\r\nconnection: upgrade\r\n',
  'expect: 100-continue\r\n',
  'expect: x\r\n',
  '5\r\n',
  'FFFFFFFFFFFFFFFFFF\r\n',
  '{"model":"letters"',
  '{"model":',
  'null',
  '[[[[',
  '\u{1F600}',
);

function send(address: string, bytes: Uint8Array): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    socket.on('error', () => undefined);
    socket.once('close', () => resolve());
    socket.resume();
    socket.end(bytes);
    setTimeout(() => socket.destroy(), 200);
  });
}

test('malformed bytes leave the entry alive', async () => {
  const system = await TestSystem.start({
    zones: ['zone-a'],
    vms: createVMs('plain', 1, 'plain'),
    services: [{ definition: services.slots(), replicas: [{ replica: 'slots-1', vms: ['plain-1'] }] }],
  });
  const unexpected: unknown[] = [];
  const note = (error: unknown) => unexpected.push(error);
  process.on('uncaughtException', note);
  process.on('unhandledRejection', note);
  await fc.assert(fc.asyncProperty(
    fc.array(
      fc.oneof(words.map((word) => Buffer.from(word)), fc.uint8Array({ maxLength: 20 })),
      { maxLength: 12 },
    ),
    async (parts) => {
      await send(system.address(), Buffer.concat(parts));
    },
  ), { seed: SEED, numRuns: LIVE_RUNS });
  expect(unexpected).toEqual([]);
  expect((await system.call(0, { path: ECHO })).status).toBe(200);
  process.off('uncaughtException', note);
  process.off('unhandledRejection', note);
  await system.close();
});
