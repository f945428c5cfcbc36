import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, test } from 'vitest';
import TestGateway, { type TargetScript } from './TestGateway.js';

const RESUMABLE = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;

/** Crash after which, and time after it in ms from which, few requests with the part may reach targets. */
const CRASHES = 5;
const STABLE_WINDOW_MILLISECONDS = 1_000;
const ALLOWED_LATER = 3;

const TARGETS = 12;
const CALLS = 40;
const PAUSE_MILLISECONDS = 80;
const RESTART_MILLISECONDS = 400;

let gateway: TestGateway | undefined;

afterEach(() => gateway?.stop());

// Guards against requests with one part in their prompts that crash one back end after the other.
test('a part that crashes targets is held back, other parts are served', { timeout: 20_000 }, async () => {
  let crashes = 0;
  let windowEndsAt = Number.POSITIVE_INFINITY;
  let reachedLater = 0;
  const script = (index: number): TargetScript => (incoming, outgoing) => {
    const parts = String(incoming.headers['x-parts']).split(',');
    if (parts.includes('deadly')) {
      reachedLater += performance.now() > windowEndsAt ? 1 : 0;
      crashes += 1;
      windowEndsAt = crashes === CRASHES ? performance.now() + STABLE_WINDOW_MILLISECONDS : windowEndsAt;
      // The request of another caller may begin before the target ends.
      setTimeout(() => gateway?.stopTarget(index), 10);
      setTimeout(() => gateway?.restartTarget(index, script(index)), RESTART_MILLISECONDS);
      return;
    }
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
    outgoing.end('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  };
  gateway = await TestGateway.start(RESUMABLE, Array.from({ length: TARGETS }, (_, index) => script(index)));
  const sound: number[] = [];
  for (let call = 0; call < CALLS; call += 1) {
    const deadly = gateway.call({ 'x-parts': `system,deadly,subject${call}` });
    sound.push((await gateway.call({ 'x-parts': `system,subject${call}` })).status);
    await deadly;
    await sleep(PAUSE_MILLISECONDS);
  }
  expect(reachedLater).toBeLessThanOrEqual(ALLOWED_LATER);
  expect(sound.slice(-10)).toEqual(Array(10).fill(200));
  expect(await gateway.call({ 'x-parts': 'system,deadly' })).toMatchObject({ status: 503, cut: false });
});

// Guards against a repeat that leaves before it is known that the target has ended.
test('a request whose target is the third to end is not repeated', { timeout: 20_000 }, async () => {
  let reached = 0;
  const script = (index: number): TargetScript => () => {
    reached += 1;
    gateway?.stopTarget(index);
  };
  gateway = await TestGateway.start(RESUMABLE, Array.from({ length: TARGETS }, (_, index) => script(index)));
  const first = await gateway.call({ 'x-parts': 'system,deadly' });
  await sleep(1_100);
  const second = await gateway.call({ 'x-parts': 'system,deadly' });
  expect([first.status, second.status, reached]).toEqual([502, 502, 3]);
});
