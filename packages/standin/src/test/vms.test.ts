import { connect } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { request } from 'undici';
import { VMId } from '@dandelionlane/core';
import {
  expectedAnswer, promptOf, startPlatform, startVMs, VMFault, type VMsHandle,
} from '../index.js';

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

const place = { availabilityZone: 'a', fabricDomain: 'f' };
const quick = {
  weightLoadMilliseconds: 1, coldDurationMilliseconds: 1, decodeMillisecondsPerToken: 1, coldConcurrency: 1,
};
type Timing = Partial<Record<keyof typeof quick | 'weightBytes' | 'warmConcurrency', number>>;

async function start(timing: Timing, kinds: ('model' | 'plain')[] = ['model'], common = {}): Promise<VMsHandle> {
  const vms = kinds.map((kind, index) => ({
    ...place,
    vm: VMId.parse(`vm-${index}`),
    accelerators: kind === 'model' ? 8 : 0,
    kind,
    checksFencing: index === 0,
    timing: { ...quick, ...timing },
  }));
  const handle = (await startVMs({
    reportLagMilliseconds: 0, memberCheckMilliseconds: 5, memberTimeoutMilliseconds: 100, ...common, vms,
  })).match((started) => started, (error) => {
    throw new Error(error.message);
  });
  closers.push(() => handle.close());
  return handle;
}

type Headers = Record<string, string>;

async function send(address: string, path: string, body?: unknown, headers: Headers = {}) {
  const answer = await request(`http://${address}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    // A kept connection may be one that a restart has closed.
    reset: true,
    headers,
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  return { status: answer.statusCode, text: await answer.body.text() };
}

function addressOf(handle: VMsHandle, index = 0): string {
  return handle.vms[index]?.address ?? '';
}

function fault(handle: VMsHandle, index: number, value: VMFault): Promise<boolean> {
  return handle.applyFault(VMId.parse(`vm-${index}`), value);
}

function loadOrder(handle: VMsHandle, fencing: number, replica = 'r-1', model: string | null = 'm') {
  return {
    kind: 'load', fencing, replica, service: 's', model, adapter: null, version: '1', members: handle.vms,
  };
}

async function report(handle: VMsHandle, index = 0): Promise<Record<string, unknown>> {
  return JSON.parse((await send(addressOf(handle, index), '/v1/report')).text) as Record<string, unknown>;
}

async function untilPhase(handle: VMsHandle, ...phases: string[]): Promise<void> {
  await expect.poll(async () => (await report(handle)).phase, { interval: 2 })
    .toSatisfy((phase) => phases.includes(String(phase)));
}

function untilRuns(handle: VMsHandle, count: number) {
  return expect.poll(() => handle.journal().runs.length, { interval: 2 }).toBe(count);
}

async function orderAll(handle: VMsHandle, order: unknown): Promise<void> {
  await Promise.all(handle.vms.map(({ address }) => send(address, '/v1/orders', order)));
}

async function warm(timing: Timing = {}, kinds: ('model' | 'plain')[] = ['model']): Promise<VMsHandle> {
  const handle = await start(timing, kinds);
  await orderAll(handle, loadOrder(handle, 1, 'r-1', kinds[0] === 'model' ? 'm' : null));
  await untilPhase(handle, 'warm');
  return handle;
}

const messages = [{ role: 'user', content: 'a bottle' }];
const toReplica = { 'dandelionlane-replica': 'r-1', 'dandelionlane-request-id': 'q-1' };

function chat(handle: VMsHandle, body: object = {}, headers: Headers = toReplica) {
  return send(addressOf(handle), '/v1/chat/completions', { messages, max_tokens: 5, ...body }, headers);
}

function contentOf(answer: { text: string }): unknown {
  const { choices } = JSON.parse(answer.text) as { choices: { message: { content: string } }[] };
  return choices[0]?.message.content;
}

interface Chunk {
  choices: { delta: { content?: string } }[];
}

function streamed(text: string): string {
  return text.split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice('data: '.length)) as Chunk)
    .map((chunk) => chunk.choices[0]?.delta.content ?? '')
    .join('');
}

const expected = expectedAnswer(promptOf(messages), 5);

test('whole answer is the expected one', async () => {
  const handle = await warm();
  expect(contentOf(await chat(handle))).toBe(expected);
  expect(handle.journal().runs).toMatchObject([{ requestId: 'q-1', replica: 'r-1', outcome: 'finished' }]);
});

test('stream has one event a token', async () => {
  const handle = await warm();
  const { text } = await chat(handle, { stream: true });
  expect(streamed(text)).toBe(expected);
  expect(text.match(/^data: /gm)).toHaveLength(7);
  expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true);
});

test('resumed stream goes on where it was', async () => {
  const handle = await warm();
  const { text } = await chat(handle, { stream: true, resume: { deliveredTokens: 3 } });
  expect(streamed(text)).toBe(` ${expected.split(' ').slice(3).join(' ')}`);
});

test('wrong replica is refused and not run', async () => {
  const handle = await warm();
  const answer = await chat(handle, {}, { 'dandelionlane-replica': 'r-2' });
  expect(answer.status).toBe(409);
  expect(JSON.parse(answer.text)).toMatchObject({ kind: 'target-refused', outcome: 'not-run' });
  expect(handle.journal().runs).toEqual([]);
});

test('stale fencing is refused where checked', async () => {
  const handle = await start({}, ['model', 'model']);
  await orderAll(handle, loadOrder(handle, 5));
  const stale = loadOrder(handle, 4, 'r-0');
  expect((await send(addressOf(handle, 0), '/v1/orders', stale)).status).toBe(409);
  expect((await send(addressOf(handle, 1), '/v1/orders', stale)).status).toBe(202);
  expect(await report(handle, 0)).toMatchObject({ replica: 'r-1', fencing: 5 });
  expect(await report(handle, 1)).toMatchObject({ replica: 'r-0', fencing: 5 });
});

test('repeated load changes nothing', async () => {
  const handle = await warm();
  await orderAll(handle, loadOrder(handle, 2));
  expect(await report(handle)).toMatchObject({ phase: 'warm', fencing: 2 });
});

test('cold start waits for all members', async () => {
  const handle = await start({}, ['model', 'model']);
  await send(addressOf(handle, 0), '/v1/orders', loadOrder(handle, 1));
  await expect.poll(async () => (await report(handle)).weightsLoaded, { interval: 2 }).toBe(true);
  expect(await report(handle)).toMatchObject({ phase: 'loading' });
  expect((await chat(handle)).status).toBe(503);
  await send(addressOf(handle, 1), '/v1/orders', loadOrder(handle, 1));
  await untilPhase(handle, 'warm');
});

test('lost member corrupts tokens', async () => {
  const handle = await warm({}, ['model', 'model']);
  expect(contentOf(await chat(handle))).toBe(expected);
  await fault(handle, 1, { kind: 'restart' });
  await expect.poll(async () => contentOf(await chat(handle))).toContain('corrupted');
});

test('frozen member corrupts tokens until thawed', async () => {
  const handle = await warm({}, ['model', 'model']);
  await fault(handle, 1, { kind: 'freeze' });
  await expect.poll(async () => contentOf(await chat(handle))).toContain('corrupted');
  await fault(handle, 1, { kind: 'thaw' });
  await expect.poll(async () => contentOf(await chat(handle))).toBe(expected);
});

test('cold engine falls over under load', async () => {
  const handle = await start({ coldDurationMilliseconds: 60_000, decodeMillisecondsPerToken: 20 });
  await orderAll(handle, loadOrder(handle, 1));
  await untilPhase(handle, 'cold');
  const before = await report(handle);
  const outcomes = await Promise.allSettled([chat(handle), chat(handle)]);
  expect(outcomes.map(({ status }) => status)).toEqual(['rejected', 'rejected']);
  const after = await report(handle);
  expect(after).toMatchObject({ phase: 'empty', replica: null });
  expect(Number(after.incarnation)).toBeGreaterThan(Number(before.incarnation));
  expect(handle.journal()).toMatchObject({ maximumRunningWhileCold: 2, fellOver: 1 });
});

test('go-cold keeps the incarnation', async () => {
  const handle = await start({ coldDurationMilliseconds: 200 });
  await orderAll(handle, loadOrder(handle, 1));
  await untilPhase(handle, 'warm');
  const { incarnation } = await report(handle);
  await fault(handle, 0, { kind: 'go-cold' });
  expect(await report(handle)).toMatchObject({ phase: 'cold', incarnation });
});

test('unload finishes running work first', async () => {
  const handle = await warm({ decodeMillisecondsPerToken: 20 });
  const running = chat(handle);
  await untilRuns(handle, 1);
  await orderAll(handle, { kind: 'unload', fencing: 2, replica: 'r-1' });
  expect(await report(handle)).toMatchObject({ phase: 'stopping', replica: 'r-1' });
  expect((await chat(handle)).status).toBe(503);
  expect(contentOf(await running)).toBe(expected);
  expect(await report(handle)).toMatchObject({ phase: 'empty', replica: null });
});

test('another load fails what runs', async () => {
  const handle = await warm({ decodeMillisecondsPerToken: 50 });
  const running = chat(handle);
  await untilRuns(handle, 1);
  const outcome = expect(running).rejects.toThrow();
  await orderAll(handle, loadOrder(handle, 2, 'r-2'));
  await outcome;
  await untilPhase(handle, 'warm');
  expect(handle.journal().runs).toMatchObject([{ outcome: 'failed' }]);
});

test('killed VM refuses until restarted', async () => {
  const handle = await warm();
  await fault(handle, 0, { kind: 'kill' });
  await expect(report(handle)).rejects.toThrow();
  await send(handle.controlAddress, '/vms/vm-0/faults', { kind: 'restart' });
  expect(await report(handle)).toMatchObject({ phase: 'empty' });
});

test('held request runs after the thaw', async () => {
  const handle = await warm({}, ['plain']);
  await fault(handle, 0, { kind: 'freeze' });
  await expect(request(`http://${addressOf(handle)}/slots`, {
    method: 'POST', headers: toReplica, body: JSON.stringify({ slot: '9:00' }), signal: AbortSignal.timeout(50),
  })).rejects.toThrow();
  expect(handle.journal().runs).toEqual([]);
  await fault(handle, 0, { kind: 'thaw' });
  await untilRuns(handle, 1);
  expect(JSON.parse((await send(addressOf(handle), '/slots', undefined, toReplica)).text))
    .toEqual({ slots: [{ slot: '9:00', runs: 1 }] });
});

test('restart loses held requests', async () => {
  const handle = await warm({}, ['plain']);
  await fault(handle, 0, { kind: 'freeze' });
  const held = expect(send(addressOf(handle), '/slots', { slot: '9:00' }, toReplica)).rejects.toThrow();
  await fault(handle, 0, { kind: 'restart' });
  await held;
  expect(handle.journal().runs).toEqual([]);
});

test('disconnect cancels the run', async () => {
  const handle = await warm({ decodeMillisecondsPerToken: 50 });
  const abort = new AbortController();
  const running = request(`http://${addressOf(handle)}/v1/chat/completions`, {
    method: 'POST', headers: toReplica, body: JSON.stringify({ messages, max_tokens: 1000 }), signal: abort.signal,
  });
  await untilRuns(handle, 1);
  const outcome = expect(running).rejects.toThrow();
  abort.abort();
  await outcome;
  await expect.poll(() => handle.journal().runs[0]?.outcome).toBe('cancelled');
});

test('interactive goes before batch', async () => {
  const handle = await warm({ warmConcurrency: 1, decodeMillisecondsPerToken: 10 });
  const order: string[] = [];
  const call = async (name: string, priority: string) => {
    await chat(handle, { priority, max_tokens: 30 });
    order.push(name);
  };
  const first = call('first', 'batch');
  await untilRuns(handle, 1);
  const second = call('second', 'batch');
  await untilRuns(handle, 2);
  const third = call('third', 'interactive');
  await Promise.all([first, second, third]);
  expect(order).toEqual(['first', 'third', 'second']);
});

test('cache events appear', async () => {
  const handle = await start({}, ['model'], { cacheEventLagMilliseconds: 0, cacheEventLossRatio: 0 });
  await orderAll(handle, loadOrder(handle, 1));
  await untilPhase(handle, 'warm');
  await chat(handle);
  await chat(handle);
  expect(JSON.parse((await send(addressOf(handle), '/v1/cache-events?after=0')).text))
    .toMatchObject({ events: [{ sequence: 1, kind: 'stored' }] });
});

test('leaving VM takes no new work', async () => {
  const handle = await warm();
  await fault(handle, 0, { kind: 'leave' });
  expect(await report(handle)).toMatchObject({ leaving: true, phase: 'warm' });
  expect((await chat(handle)).status).toBe(503);
});

test('plain slots count their runs', async () => {
  const handle = await warm({}, ['plain']);
  const book = () => send(addressOf(handle), '/slots', { slot: '10:00' }, { ...toReplica, 'idempotency-key': 'k' });
  expect(await book()).toEqual({ status: 201, text: JSON.stringify({ slot: '10:00', run: 1 }) });
  expect(JSON.parse((await book()).text)).toMatchObject({ run: 2 });
  expect(JSON.parse((await send(addressOf(handle), '/slots', undefined, toReplica)).text))
    .toEqual({ slots: [{ slot: '10:00', runs: 2 }] });
  expect(handle.journal().runs).toHaveLength(3);
});

test('echo returns the call', async () => {
  const handle = await warm({}, ['plain']);
  const answer = await send(addressOf(handle), '/echo?delayMilliseconds=1', { note: 1 }, toReplica);
  expect(JSON.parse(answer.text)).toMatchObject({
    method: 'POST', path: '/echo', body: '{"note":1}', headers: toReplica,
  });
});

test('duplicate answer sends events twice', async () => {
  const handle = await warm();
  await fault(handle, 0, { kind: 'duplicate-answer', answers: 1 });
  const { text } = await chat(handle, { stream: true });
  expect(text.match(/\[DONE\]/g)).toHaveLength(2);
});

test('duplicate whole answer follows the first', async () => {
  const handle = await warm({}, ['plain']);
  await fault(handle, 0, { kind: 'duplicate-answer', answers: 1 });
  const [host, port] = addressOf(handle).split(':');
  const socket = connect(Number(port), host);
  socket.write('GET /echo HTTP/1.1\r\nhost: vm\r\ndandelionlane-replica: r-1\r\n\r\n');
  let received = '';
  socket.on('data', (bytes) => {
    received += bytes.toString();
  });
  await expect.poll(() => received.match(/HTTP\/1.1 200 OK/g)?.length, { interval: 2 }).toBe(2);
  socket.destroy();
});

test('weights come from the platform', async () => {
  const platform = (await startPlatform({})).match((started) => started, (error) => {
    throw new Error(error.message);
  });
  closers.push(() => platform.close());
  const handle = await start({ weightBytes: 1_000 }, ['model'], { platform: platform.address });
  await orderAll(handle, loadOrder(handle, 1));
  await untilPhase(handle, 'warm');
  expect(JSON.parse((await send(platform.address, '/v1/vms')).text))
    .toMatchObject({ vms: [{ vm: 'vm-0', address: addressOf(handle), state: 'live' }] });
});

test('restart forgets prefixes and events go on', async () => {
  const handle = await start({}, ['model'], { cacheEventLagMilliseconds: 0, cacheEventLossRatio: 0 });
  const chatOnce = async () => {
    await orderAll(handle, loadOrder(handle, 1));
    await untilPhase(handle, 'warm');
    await chat(handle);
  };
  await chatOnce();
  await fault(handle, 0, { kind: 'restart' });
  await chatOnce();
  expect(JSON.parse((await send(addressOf(handle), '/v1/cache-events?after=1')).text))
    .toMatchObject({ events: [{ sequence: 2, kind: 'stored' }] });
});

test('late answer is whole', async () => {
  const handle = await warm({}, ['plain']);
  await fault(handle, 0, { kind: 'late-answer', answers: 1, milliseconds: 30 });
  const order: string[] = [];
  const call = async (name: string) => {
    const { text } = await send(addressOf(handle), `/echo?note=${name}`, undefined, toReplica);
    order.push(name);
    return JSON.parse(text) as unknown;
  };
  const first = call('first');
  await untilRuns(handle, 1);
  expect(await call('second')).toMatchObject({ query: { note: 'second' } });
  expect(await first).toMatchObject({ query: { note: 'first' } });
  expect(order).toEqual(['second', 'first']);
});

test('slow engine still answers whole', async () => {
  const handle = await warm();
  await fault(handle, 0, { kind: 'slow', factor: 5, milliseconds: 0 });
  expect(contentOf(await chat(handle))).toBe(expected);
});

test('weights that are there are not loaded again', async () => {
  const handle = await warm({ weightLoadMilliseconds: 300 });
  await orderAll(handle, { kind: 'unload', fencing: 2, replica: 'r-1' });
  expect(await report(handle)).toMatchObject({ phase: 'empty', weightsLoaded: false });
  await orderAll(handle, loadOrder(handle, 3, 'r-2'));
  expect(await report(handle)).toMatchObject({ replica: 'r-2', weightsLoaded: true });
});

test('model order is refused by a plain VM', async () => {
  const handle = await start({}, ['plain']);
  expect((await send(addressOf(handle), '/v1/orders', loadOrder(handle, 1))).status).toBe(409);
});

test('report counts outstanding tokens', async () => {
  const handle = await warm({ decodeMillisecondsPerToken: 20 });
  const running = chat(handle, { max_tokens: 20 });
  await expect.poll(async () => (await report(handle)).outstandingTokens, { interval: 2 })
    .toSatisfy((tokens) => Number(tokens) > 0 && Number(tokens) < 20);
  expect(await report(handle)).toMatchObject({ runningRequests: 1 });
  await running;
  expect(await report(handle)).toMatchObject({ runningRequests: 0, outstandingTokens: 0 });
});
