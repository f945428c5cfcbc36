import { setTimeout as sleep } from 'node:timers/promises';
import {
  afterEach, expect, test, vi,
} from 'vitest';
import { PromptPartId, SystemClock, WorkerId } from '@dandelionlane/core';
import CrashReporter from '../lib/quarantine/CrashReporter.js';
import TestGateway, { type CallerAnswer, type TargetScript } from './TestGateway.js';

const RESUMABLE = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const SIGNED = { 'x-id': 'r1', 'x-signed': '1' };
const EVENTS = 6;
const FIRST = WorkerId.parse('w0');
const NO_REPEATS = 0;

let gateway: TestGateway;

afterEach(() => gateway.stop());

function eventsFrom(first: number, last = EVENTS): string {
  return Array.from({ length: last - first + 1 }, (_, index) => first + index)
    .map((id) => `id: ${id}\ndata: e${id}\n\n`).join('');
}

/** A target that falls silent after some events, and goes on when told to. */
class SilentTarget {
  readonly #before: number;

  readonly #goOn: (() => void)[] = [];

  closed = 0;

  constructor(before: number) {
    this.#before = before;
  }

  readonly script: TargetScript = (incoming, outgoing) => {
    const from = Number(incoming.headers['last-event-id'] ?? 0) + 1;
    outgoing.once('close', () => {
      this.closed += outgoing.writableFinished ? 0 : 1;
    });
    if (this.#before >= from) {
      outgoing.writeHead(200, { ...SIGNED, 'content-type': 'text/event-stream' });
      outgoing.write(eventsFrom(from, this.#before));
    }
    this.#goOn.push(() => {
      if (!outgoing.headersSent) {
        outgoing.writeHead(200, { ...SIGNED, 'content-type': 'text/event-stream' });
      }
      outgoing.end(eventsFrom(Math.max(from, this.#before + 1)));
    });
  };

  goOn(): void {
    this.#goOn.forEach((resume) => resume());
  }
}

const refuse: TargetScript = (_incoming, outgoing) => {
  outgoing.writeHead(503, { 'x-not-executed': '1' }).end();
};

const breakOff: TargetScript = (incoming) => {
  incoming.socket.resetAndDestroy();
};

const serveRest: TargetScript = (incoming, outgoing) => {
  outgoing.writeHead(200, { ...SIGNED, 'content-type': 'text/event-stream' });
  outgoing.end(eventsFrom(Number(incoming.headers['last-event-id'] ?? 0) + 1));
};

/** Holds a part back, as three targets have crashed with it. */
function quarantine(part: string): void {
  const now = new SystemClock().monotonicMilliseconds();
  [3_000, 2_000, 1_000].forEach((age, index) => gateway.quarantine.recordCrash({
    id: WorkerId.parse(`c${index}`), bornAt: 1, at: now - age,
  }, [PromptPartId.parse(part)]));
}

/** Requests with which a target takes no more: its slots and those that it may queue. */
const FULL = 8;

const POLL_MILLISECONDS = 5;

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(POLL_MILLISECONDS);
  }
}

interface SilentCall {
  readonly headers?: Record<string, string>;
  readonly streams?: number;
  /** Requests at each of the other targets when the first falls silent. */
  readonly othersOutstanding?: number;
}

/** Sends streams to the first target, and reports it as silent once each has its events so far. */
async function callSilent(
  delivered: number,
  { headers = {}, streams = 1, othersOutstanding = 0 }: SilentCall = {},
): Promise<readonly Promise<CallerAnswer>[]> {
  const others = gateway.received.slice(1)
    .map((_, index) => gateway.states.of(WorkerId.parse(`w${index + 1}`)));
  others.forEach((state) => Object.assign(state, { outstanding: FULL }));
  const answers = Array.from({ length: streams }, () => gateway.call(headers));
  const { streams: running } = gateway.states.of(FIRST);
  const isUnderWay = () => gateway.received[0] === streams
    && [...running].every(({ lastEventAt }) => delivered === 0 || lastEventAt !== null);
  while (!isUnderWay()) {
    await sleep(POLL_MILLISECONDS);
  }
  others.forEach((state) => Object.assign(state, { outstanding: othersOutstanding }));
  if (headers['x-parts'] !== undefined) {
    quarantine(headers['x-parts']);
  }
  [...running].forEach((stream) => stream.stalled());
  return answers;
}

/** Time in which a move would have failed, in ms. */
const MOVE_MILLISECONDS = 100;

// Guards against a cut for lack of a repeat after the entry has left a silent target.
test.each([0, 2])('a stream with %i events stays at a silent target when no repeat is left', async (delivered) => {
  const silent = new SilentTarget(delivered);
  gateway = await TestGateway.start(RESUMABLE, [silent.script, serveRest], 2, NO_REPEATS);
  const [answer] = await callSilent(delivered);
  await sleep(MOVE_MILLISECONDS);
  silent.goOn();
  expect(await answer).toMatchObject({ status: 200, body: eventsFrom(1), cut: false });
  expect(gateway.received).toEqual([1, 0]);
});

// Guards against a cut when the target that a stream moves to refuses it.
test.each([0, 2])('a stream with %i events stays at a silent target when no other takes it', async (delivered) => {
  const silent = new SilentTarget(delivered);
  gateway = await TestGateway.start(RESUMABLE, [silent.script, refuse]);
  const [answer] = await callSilent(delivered);
  await sleep(MOVE_MILLISECONDS);
  silent.goOn();
  expect(await answer).toMatchObject({ status: 200, body: eventsFrom(1), cut: false });
});

// Guards against a cut when the target that a stream moves to breaks off.
test('a stream stays at a silent target when the other one breaks off', async () => {
  const silent = new SilentTarget(2);
  gateway = await TestGateway.start(RESUMABLE, [silent.script, breakOff]);
  const [answer] = await callSilent(2);
  await sleep(MOVE_MILLISECONDS);
  silent.goOn();
  expect(await answer).toMatchObject({ status: 200, body: eventsFrom(1), cut: false });
});

// Guards against a stream that waits for a second silent target while the first goes on.
test('a stream goes on at whichever silent target goes on first', async () => {
  const first = new SilentTarget(2);
  const second = new SilentTarget(0);
  gateway = await TestGateway.start(RESUMABLE, [first.script, second.script]);
  const [answer] = await callSilent(2);
  await sleep(MOVE_MILLISECONDS);
  expect(gateway.received).toEqual([1, 1]);
  first.goOn();
  expect(await answer).toMatchObject({ status: 200, body: eventsFrom(1), cut: false });
  expect(gateway.states.of(WorkerId.parse('w1')).streams.size).toBe(0);
});

// Guards against a target that works on for a stream that has gone on elsewhere.
test('a stream that goes on elsewhere leaves its silent target', async () => {
  const silent = new SilentTarget(2);
  gateway = await TestGateway.start(RESUMABLE, [silent.script, serveRest]);
  const [answer] = await callSilent(2);
  expect(await answer).toMatchObject({ status: 200, body: eventsFrom(1), cut: false });
  await sleep(MOVE_MILLISECONDS);
  expect(silent.closed).toBe(1);
});

// Guards against streams that all leave one silent target for places that only some of them get.
test('streams beyond the free places of the others stay at their silent target', async () => {
  const silent = new SilentTarget(2);
  gateway = await TestGateway.start(RESUMABLE, [silent.script, new SilentTarget(0).script]);
  const answers = await callSilent(2, { streams: 4, othersOutstanding: FULL - 1 });
  await sleep(MOVE_MILLISECONDS);
  silent.goOn();
  (await Promise.all(answers)).forEach((answer) => {
    expect(answer).toMatchObject({ status: 200, body: eventsFrom(1), cut: false });
  });
});

// Guards against a failure when a part of the prompt is held back while its stream runs.
test('a stream with a quarantined part stays at its silent target', async () => {
  const silent = new SilentTarget(0);
  gateway = await TestGateway.start(RESUMABLE, [silent.script, serveRest]);
  const [answer] = await callSilent(0, { headers: { 'x-parts': 'deadly' } });
  await sleep(MOVE_MILLISECONDS);
  silent.goOn();
  expect(await answer).toMatchObject({ status: 200, cut: false });
});

// Guards against a third run of a stream with two attempts, one of which has just been lost.
test('a lost attempt counts while the end of its target is checked', async () => {
  let loseFirst = (): void => undefined;
  const loses: TargetScript = (incoming) => {
    loseFirst = () => incoming.socket.resetAndDestroy();
  };
  const silent = new SilentTarget(0);
  gateway = await TestGateway.start(RESUMABLE, [loses, silent.script, serveRest]);
  gateway.states.of(WorkerId.parse('w2')).outstanding = 2;
  gateway.states.of(WorkerId.parse('w1')).outstanding = 1;
  const answer = gateway.call();
  const { streams: lost } = gateway.states.of(FIRST);
  const { streams: left } = gateway.states.of(WorkerId.parse('w1'));
  await waitUntil(() => gateway.received[0] === 1);
  [...lost].forEach((stream) => stream.stalled());
  await waitUntil(() => gateway.received[1] === 1);
  const check = vi.spyOn(CrashReporter.prototype, 'reportLoss').mockImplementation(() => sleep(MOVE_MILLISECONDS));
  loseFirst();
  await waitUntil(() => lost.size === 0);
  [...left].forEach((stream) => stream.stalled());
  await sleep(MOVE_MILLISECONDS);
  silent.goOn();
  expect(await answer).toMatchObject({ status: 200, body: eventsFrom(1), cut: false });
  expect(gateway.received).toEqual([1, 1, 0]);
  check.mockRestore();
});

// Guards against an attempt that outlives its request when another one fails inside the gateway.
test('a request that fails inside the gateway leaves no attempt behind', async () => {
  const lost = new Map<string, () => void>();
  const loses: TargetScript = (incoming) => lost.set('first', () => incoming.socket.resetAndDestroy());
  const silent = new SilentTarget(0);
  gateway = await TestGateway.start(RESUMABLE, [loses, silent.script]);
  gateway.states.of(WorkerId.parse('w1')).outstanding = 1;
  const answer = gateway.call();
  const { streams } = gateway.states.of(FIRST);
  await waitUntil(() => gateway.received[0] === 1);
  [...streams].forEach((stream) => stream.stalled());
  await waitUntil(() => gateway.received[1] === 1);
  const check = vi.spyOn(CrashReporter.prototype, 'reportLoss').mockRejectedValue(new Error('check failed'));
  lost.get('first')?.();
  expect(await answer).toMatchObject({ status: 500 });
  await sleep(MOVE_MILLISECONDS);
  expect(silent.closed).toBe(1);
  expect(gateway.states.of(WorkerId.parse('w1')).streams.size).toBe(0);
  check.mockRestore();
});
