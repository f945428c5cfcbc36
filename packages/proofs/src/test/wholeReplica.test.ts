import {
  afterEach, beforeEach, expect, test,
} from 'vitest';
import { expectedAnswer } from '@dandelionlane/standin';
import chatCall from './chatCall.js';
import createVMs from './createVMs.js';
import pause from './pause.js';
import readStream from './readStream.js';
import services from './services.js';
import TestSystem from './TestSystem.js';
import waitUntil from './waitUntil.js';

const PROMPT = 'lettering for curved glass';
const TOKENS = 200;
const EXPECTED = expectedAnswer(`user: ${PROMPT}`, TOKENS);
const CHAT = '/v1/chat/completions';
let system: TestSystem;

beforeEach(async () => {
  system = await TestSystem.start({
    zones: ['zone-a'],
    vms: createVMs('model', 4, 'model'),
    services: [{
      definition: services.letters({ requestTimeoutMilliseconds: 20_000 }),
      replicas: [
        { replica: 'letters-1', vms: ['model-1', 'model-2'] },
        { replica: 'letters-2', vms: ['model-3', 'model-4'] },
      ],
    }],
  });
});

afterEach(() => system.close());

/** Starts a call and resolves, when it runs, to the members of its replica, the leader first. */
async function begin(stream: boolean) {
  const before = system.runsOf(CHAT).length;
  const answer = system.call(0, chatCall(PROMPT, TOKENS, stream));
  await waitUntil('the call runs', () => system.runsOf(CHAT).length > before);
  await pause(150);
  const leader = system.runsOf(CHAT).at(-1)?.vm ?? '';
  return { answer, leader, member: leader === 'model-1' ? 'model-2' : 'model-4' };
}

/** Leaves one replica only, so that nothing can take over. */
async function leaveOne(): Promise<void> {
  await system.fault('model-3', { kind: 'kill' });
  await pause(1_000);
}

test.each([
  ['kill', 'leader'], ['kill', 'member'], ['freeze', 'leader'], ['freeze', 'member'],
  ['restart', 'leader'], ['restart', 'member'],
] as const)('%s of a %s in mid-stream goes on elsewhere', async (kind, lost) => {
  const run = await begin(true);
  await system.fault(run[lost], { kind });
  const stream = readStream((await run.answer).text);
  expect(stream).toMatchObject({ done: true, failed: false, text: EXPECTED });
  expect(system.runsOf(CHAT).at(-1)?.vm).not.toBe(run.leader);
});

test('kill of a member in mid-stream without another replica', async () => {
  await leaveOne();
  const run = await begin(true);
  await system.fault(run.member, { kind: 'kill' });
  const stream = readStream((await run.answer).text);
  expect(stream).toMatchObject({ done: false, failed: true });
  expect(EXPECTED.startsWith(stream.text)).toBe(true);
  expect(stream.text).not.toContain('corrupted');
});

test('kill of the leader in mid-stream without another replica', async () => {
  await leaveOne();
  const run = await begin(true);
  await system.fault(run.leader, { kind: 'kill' });
  const stream = readStream((await run.answer).text);
  expect(stream).toMatchObject({ done: false, failed: true });
  expect(EXPECTED.startsWith(stream.text)).toBe(true);
});

test.each(['kill', 'restart'] as const)('%s of a member before the answer goes elsewhere', async (kind) => {
  const run = await begin(false);
  await system.fault(run.member, { kind });
  const answer = await run.answer;
  expect(answer.status).toBe(200);
  expect(JSON.parse(answer.text)).toMatchObject({ choices: [{ message: { content: EXPECTED } }] });
});

test('kill of a member before the answer without another replica', async () => {
  await leaveOne();
  const run = await begin(false);
  await system.fault(run.member, { kind: 'kill' });
  expect((await run.answer).problem).toMatchObject({ kind: 'replica-not-whole', outcome: 'unknown' });
});

test('fabric domain dark', async () => {
  const run = await begin(true);
  const vms = ['model-1', 'model-2', 'model-3', 'model-4'];
  await Promise.all(vms.map((vm) => system.fault(vm, { kind: 'kill' })));
  expect(readStream((await run.answer).text)).toMatchObject({ done: false, failed: true });
  await waitUntil('the loss is seen', async () => (
    (await system.call(0, chatCall(PROMPT, TOKENS))).problem?.kind === 'no-whole-replica'
  ));
});

test('restarted member between choice and send', async () => {
  await leaveOne();
  const before = system.runsOf(CHAT).length;
  await system.fault('model-2', { kind: 'restart' });
  const answer = await system.call(0, chatCall(PROMPT, 1));
  expect(answer.status).not.toBe(200);
  const completed = system.runsOf(CHAT).slice(before).filter(({ outcome }) => outcome === 'finished');
  expect(answer.problem?.outcome === 'not-run' ? completed : []).toEqual([]);
});

test('member that came back alone makes no replica whole', async () => {
  const texts: string[] = [];
  const call = async (stream: boolean) => {
    const answer = await system.call(0, chatCall(PROMPT, 60, stream));
    const isWhole = stream ? readStream(answer.text).done : answer.status === 200;
    texts.push(isWhole ? answer.text : '');
  };
  const calls: Promise<void>[] = [];
  for (const vm of ['model-2', 'model-4']) {
    calls.push(call(true), call(false));
    await pause(60);
    await system.fault(vm, { kind: 'restart' });
    calls.push(call(true), call(false));
    await pause(150);
    await system.load();
    await pause(400);
    calls.push(call(true), call(false));
  }
  await Promise.all(calls);
  expect(texts.filter((text) => text !== '').length).toBeGreaterThan(0);
  expect(texts.some((text) => text.includes('corrupted'))).toBe(false);
});
