import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { ProcessGroup } from '@dandelionlane/demo';
import { expectedAnswer } from '@dandelionlane/standin';
import chatCall from './chatCall.js';
import pause from './pause.js';
import readStream from './readStream.js';
import RunningFleet from './RunningFleet.js';
import waitUntil from './waitUntil.js';

const TOKENS = 250;
const SLOTS = '/v1/services/slots/slots';
const PROMPT = 'orders of the week';
const EXPECTED = expectedAnswer(`user: ${PROMPT}`, TOKENS);
const LONG_TEST_MILLISECONDS = 60_000;
let fleet: RunningFleet;

beforeAll(async () => {
  fleet = await RunningFleet.start(true);
}, LONG_TEST_MILLISECONDS);

afterAll(() => fleet.stop(), LONG_TEST_MILLISECONDS);

/** Opens streams at these entries and resolves once all run. */
async function openStreams(indexes: readonly number[]) {
  await waitUntil('the load is borne', () => fleet.bearsLoad([...new Set(indexes)]), LONG_TEST_MILLISECONDS / 2);
  const before = (await fleet.runsOf('/v1/chat')).length;
  const answers = indexes.map((index) => fleet.call(index, chatCall(PROMPT, TOKENS, true)));
  await waitUntil('the streams run', async () => (
    (await fleet.runsOf('/v1/chat')).length >= before + indexes.length
  ));
  return answers;
}

async function expectWhole(answers: Awaited<ReturnType<typeof openStreams>>): Promise<void> {
  for (const answer of await Promise.all(answers)) {
    expect(readStream(answer.text)).toMatchObject({ done: true, failed: false, text: EXPECTED });
  }
}

test('SIGTERM of the controller with the lease cuts nothing', async () => {
  await waitUntil('one holds the lease', async () => (await fleet.holders()).length === 1);
  const [holder] = await fleet.holders();
  const streams = await openStreams([0, 1, 2]);
  const code = holder === undefined ? null : await ProcessGroup.end(holder.child);
  expect(code).toBe(0);
  await expectWhole(streams);
  await waitUntil('another holds the lease', async () => (await fleet.holders()).length === 1);
}, LONG_TEST_MILLISECONDS);

test('frozen entry after its claim', async () => {
  const frozen = fleet.system.entries[0]?.child;
  const vms = ['zone-a-plain-1', 'zone-b-plain-1', 'zone-c-plain-1'];
  await Promise.all(vms.map((vm) => fleet.fault(vm, { kind: 'slow', factor: 1, milliseconds: 1_000 })));
  const body = { slot: 'frozen' };
  const first = fleet.call(0, { path: SLOTS, body, key: 'frozen' });
  await waitUntil('the call runs', async () => (await fleet.runsOf('/slots')).length === 1);
  frozen?.kill('SIGSTOP');
  const meanwhile = await fleet.call(1, { path: SLOTS, body, key: 'frozen' });
  await pause(2_000);
  frozen?.kill('SIGCONT');
  expect(meanwhile.problem).toMatchObject({ kind: 'idempotency-key-in-progress', outcome: 'unknown' });
  const answer = await first;
  expect([201, 502, 504]).toContain(answer.status);
  await waitUntil('the later call has its answer', async () => {
    const later = await fleet.call(1, { path: SLOTS, body, key: 'frozen' });
    return later.status === 201 || (answer.status !== 201 && later.problem?.outcome === 'unknown');
  });
  expect(await fleet.runsOf('/slots')).toHaveLength(1);
  await Promise.all(vms.map((vm) => fleet.fault(vm, { kind: 'slow', factor: 1, milliseconds: 0 })));
}, LONG_TEST_MILLISECONDS);

test('SIGTERM of an entry cuts no stream', async () => {
  const streams = await openStreams([2, 2, 1, 2]);
  const ended = fleet.system.entries[2];
  const code = ended === undefined ? null : await ProcessGroup.end(ended.child);
  await expectWhole(streams);
  expect(code).toBe(0);
  expect((await fleet.call(1, chatCall(PROMPT, 1))).status).toBe(200);
}, LONG_TEST_MILLISECONDS);

test('SIGKILL of an entry leaves the callers of others', async () => {
  const streams = await openStreams([1, 1]);
  fleet.system.entries[0]?.child.kill('SIGKILL');
  const answers = await Promise.all(Array.from({ length: 20 }, async (_, index) => {
    await pause(index * 100);
    return fleet.call(1, { path: `/v1/services/slots/echo?call=${index}` });
  }));
  expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
  await expectWhole(streams);
  await waitUntil('models are served', async () => (await fleet.call(1, chatCall(PROMPT, 1))).status === 200);
}, LONG_TEST_MILLISECONDS);
