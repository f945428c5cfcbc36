import { connect } from 'node:net';
import {
  afterEach, beforeEach, expect, test,
} from 'vitest';
import { Agent } from 'undici';
import { HEADERS } from '@dandelionlane/core';
import { expectedAnswer } from '@dandelionlane/standin';
import chatCall from './chatCall.js';
import createVMs from './createVMs.js';
import pause from './pause.js';
import readStream from './readStream.js';
import services from './services.js';
import TestSystem from './TestSystem.js';
import waitUntil from './waitUntil.js';

const ECHO = '/v1/services/slots/echo';
const CHAT = '/v1/chat/completions';
const CALLS = 150;
const PATIENT = { requestTimeoutMilliseconds: 20_000, queueTimeoutMilliseconds: 20_000 };
let system: TestSystem;

beforeEach(async () => {
  system = await TestSystem.start({
    zones: ['zone-a', 'zone-b'],
    vms: [...createVMs('model', 2, 'model'), ...createVMs('plain', 2, 'plain')],
    services: [
      {
        definition: services.letters(PATIENT),
        replicas: [{ replica: 'letters-1', vms: ['model-1', 'model-2'], warm: 16 }],
      },
      {
        definition: services.slots(PATIENT),
        replicas: [{ replica: 'slots-1', vms: ['plain-1'] }, { replica: 'slots-2', vms: ['plain-2'] }],
      },
    ],
    limits: {
      slowCallerTimeoutMilliseconds: 500, receiveTimeoutMilliseconds: 1_000, maximumBodyBytes: 100_000,
    },
  });
});

afterEach(() => system.close());

test('late and repeated answers reach their own callers', async () => {
  const callers = new Agent({ connections: 8 });
  const results = await Promise.all(Array.from({ length: CALLS }, async (_, index) => {
    if (index % 10 === 0) {
      await system.fault('plain-1', { kind: 'duplicate-answer', answers: 2 });
      await system.fault('plain-2', { kind: 'late-answer', milliseconds: 60, answers: 2 });
    }
    const answer = await system.call(index % 2, {
      path: `${ECHO}?call=${index}&delayMilliseconds=${index % 7}`, dispatcher: callers,
    });
    // A refusal is honest; another caller's answer is not.
    return answer.status !== 200
      || (JSON.parse(answer.text) as { query: { call: string } }).query.call === String(index);
  }));
  await callers.destroy();
  expect(results.every(Boolean)).toBe(true);
});

test('callers that use one request id', async () => {
  const headers = { [HEADERS.requestId]: 'same' };
  const results = await Promise.all(Array.from({ length: CALLS }, async (_, index) => {
    await system.fault('plain-1', { kind: 'duplicate-answer', answers: 1 });
    const answer = await system.call(index % 2, { path: `${ECHO}?call=${index}&delayMilliseconds=5`, headers });
    return { status: answer.status, call: index, text: answer.text };
  }));
  const answered = results.filter(({ status }) => status === 200);
  expect(answered.length).toBeGreaterThan(CALLS / 2);
  answered.forEach(({ call, text }) => {
    expect(JSON.parse(text)).toMatchObject({ query: { call: String(call) } });
  });
});

test('interleaved streams', async () => {
  await system.fault('model-1', { kind: 'duplicate-answer', answers: 10 });
  const results = await Promise.all(Array.from({ length: 40 }, async (_, index) => {
    const answer = await system.call(index % 2, chatCall(`order ${index}`, 30, true));
    return readStream(answer.text);
  }));
  results.forEach((stream, index) => expect(stream).toMatchObject({
    done: true, failed: false, text: expectedAnswer(`user: order ${index}`, 30),
  }));
});

test.each([true, false])('caller gone cancels the work, stream: %s', async (stream) => {
  const caller = new AbortController();
  const before = system.runsOf(CHAT).length;
  const call = system.call(0, { ...chatCall('long', 2_000, stream), signal: caller.signal }).catch(() => null);
  await waitUntil('the call runs', () => system.runsOf(CHAT).length > before);
  await pause(100);
  caller.abort();
  await call;
  await waitUntil('the work is cancelled', () => system.runsOf(CHAT).at(-1)?.outcome === 'cancelled');
});

test('slow caller is bounded', async () => {
  const [host, port] = system.address().split(':');
  const before = system.runsOf(CHAT).length;
  const socket = connect(Number(port), host);
  const body = JSON.stringify(chatCall('flood', 60_000, true).body);
  const head = `POST ${CHAT} HTTP/1.1\r\nhost: x\r\n${HEADERS.team}: desk\r\n`;
  socket.write(`${head}content-length: ${body.length}\r\n\r\n${body}`);
  socket.pause();
  await system.fault('model-1', { kind: 'slow', factor: 0.01, milliseconds: 0 });
  await waitUntil('the call runs', () => system.runsOf(CHAT).length > before);
  await waitUntil('the work is cancelled', () => system.runsOf(CHAT).at(-1)?.outcome === 'cancelled', 18_000);
  socket.destroy();
});

test('body over the limit', async () => {
  const answer = await system.call(0, { path: ECHO, method: 'POST', body: 'x'.repeat(100_001) });
  expect(answer.problem).toMatchObject({ kind: 'body-too-large', outcome: 'not-run' });
  expect(system.runsOf('/echo').filter(({ method }) => method === 'POST')).toEqual([]);
});

test('header over the limit leaves the entry alive', async () => {
  const answer = await system.call(0, { path: ECHO, headers: { 'x-large': 'x'.repeat(20_000) } });
  expect(answer.status).toBe(431);
  expect((await system.call(0, { path: ECHO })).status).toBe(200);
});

test('body that never ends', async () => {
  const [host, port] = system.address().split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => undefined);
  socket.write(`POST ${ECHO} HTTP/1.1\r\nhost: x\r\n${HEADERS.team}: desk\r\ncontent-length: 50\r\n\r\nhalf`);
  await new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
    socket.resume();
  });
  expect(system.runsOf('/echo').filter(({ method }) => method === 'POST')).toEqual([]);
});

test('queued callers that use one request id', async () => {
  await system.close();
  system = await TestSystem.start({
    zones: ['zone-a'],
    vms: createVMs('plain', 1, 'plain'),
    services: [{
      definition: services.slots(PATIENT), replicas: [{ replica: 'slots-1', vms: ['plain-1'], warm: 1 }],
    }],
  });
  const headers = { [HEADERS.requestId]: 'same' };
  const before = system.runs().length;
  const first = system.call(0, { path: `${ECHO}?call=first&delayMilliseconds=500` });
  await waitUntil('the place is taken', () => system.runs().length > before);
  const others = await Promise.all([1, 2, 3].map((call) => (
    system.call(0, { path: `${ECHO}?call=${call}`, headers })
  )));
  expect((await first).status).toBe(200);
  expect(others.map(({ text }) => (JSON.parse(text) as { query?: { call: string } }).query?.call))
    .toEqual(['1', '2', '3']);
});
