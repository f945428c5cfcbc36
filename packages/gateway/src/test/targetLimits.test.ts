import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, test } from 'vitest';
import TestGateway, { type TargetScript } from './TestGateway.js';

const RESUMABLE = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;

/** Bound of the users on requests in 4 s to a target that names a limit: 1.5 times the limit, and 5. */
const WINDOW_MILLISECONDS = 4_000;
const LIMIT_PER_SECOND = 2;
const ALLOWED = (1.5 * LIMIT_PER_SECOND * WINDOW_MILLISECONDS) / 1_000 + 5;

const CALL_PERIOD_MILLISECONDS = 50;

let gateway: TestGateway | undefined;

afterEach(() => gateway?.stop());

function answer(limit: string | null): TargetScript {
  return (_incoming, outgoing) => {
    outgoing.writeHead(200, {
      'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream', ...(limit === null ? {} : { 'x-limit': limit }),
    });
    outgoing.end('id: 1\ndata: a\n\n');
  };
}

// Guards against a back end that gets more requests than the limit that it has named.
test('a target that names a limit gets no more', { timeout: 20_000 }, async () => {
  const started = await TestGateway.start(RESUMABLE, [answer(String(LIMIT_PER_SECOND)), answer(null)]);
  gateway = started;
  const answers: Promise<{ readonly status: number }>[] = [];
  for (let at = 0; at < WINDOW_MILLISECONDS; at += CALL_PERIOD_MILLISECONDS) {
    answers.push(started.call());
    await sleep(CALL_PERIOD_MILLISECONDS);
  }
  expect((await Promise.all(answers)).every(({ status }) => status === 200)).toBe(true);
  expect(started.received[0]).toBeLessThanOrEqual(ALLOWED);
  expect(started.received[0]).toBeGreaterThan(0);
});
