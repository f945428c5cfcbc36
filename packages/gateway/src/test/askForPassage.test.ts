import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, test } from 'vitest';
import { PromptPartId, SystemClock, WorkerId } from '@dandelionlane/core';
import askForPassage from '../lib/quarantine/askForPassage.js';
import PromptQuarantine from '../lib/quarantine/PromptQuarantine.js';
import TestGateway, { type TargetScript } from './TestGateway.js';

const RESUMABLE = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const PART = PromptPartId.parse('deadly');
const SERVED_MILLISECONDS = 400;

/** Period in which waiting requests ask again, in ms. */
const POLL_MILLISECONDS = 50;

let gateway: TestGateway | undefined;

afterEach(() => {
  gateway?.stop();
  gateway = undefined;
});

/** Records crashes so long ago that a trial of the part is due. */
function makeTrialDue(quarantine: PromptQuarantine, clock: SystemClock): void {
  [33_000, 32_000, 31_000].forEach((age, index) => quarantine.recordCrash({
    id: WorkerId.parse(`c${index}`), bornAt: 1, at: clock.monotonicMilliseconds() - age,
  }, [PART]));
}

const serveLate: TargetScript = (_incoming, outgoing) => {
  setTimeout(() => {
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
    outgoing.end('id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n');
  }, SERVED_MILLISECONDS);
};

// Guards against one more crash for each request that waits at the entry to which a trial is granted.
test('one of the requests that wait for a trial is sent', async () => {
  gateway = await TestGateway.start(RESUMABLE, [serveLate]);
  makeTrialDue(gateway.quarantine, new SystemClock());
  const answers = [1, 2, 3].map(() => gateway?.call({ 'x-parts': PART }));
  await sleep(2 * POLL_MILLISECONDS);
  expect(gateway.received).toEqual([0]);
  gateway.quarantine.grantTrials([PART]);
  while (gateway.received[0] === 0) {
    await sleep(POLL_MILLISECONDS);
  }
  await sleep(2 * POLL_MILLISECONDS);
  expect(gateway.received).toEqual([1]);
  await Promise.all(answers);
});

test('a request without a trial is held back once it has waited for it', async () => {
  const clock = new SystemClock();
  const quarantine = new PromptQuarantine(clock);
  makeTrialDue(quarantine, clock);
  expect(await askForPassage(quarantine, [PART], clock)).toMatchObject({ part: PART, isTrialDue: true });
});
