import {
  afterEach, expect, test, vi,
} from 'vitest';
import { SystemClock, WorkerId } from '@dandelionlane/core';
import StallDetector from '../lib/targets/StallDetector.js';
import TestGateway, { type TargetScript } from './TestGateway.js';

const STREAM = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const STALL_THRESHOLD_MILLISECONDS = 170;
const FIRST = 'id: 1\ndata: e1\n\n';
const SECOND = 'id: 2\ndata: e2\n\n';

let gateway: TestGateway | undefined;
let detector: StallDetector | undefined;

afterEach(() => {
  detector?.stop();
  gateway?.stop();
});

/** Stalls after a number of events. */
function stalling(events: string): TargetScript {
  return (_incoming, outgoing) => {
    outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
    outgoing.flushHeaders();
    outgoing.write(events);
  };
}

const answering: TargetScript = (incoming, outgoing) => {
  outgoing.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' });
  outgoing.end(incoming.headers['last-event-id'] === '1' ? SECOND : FIRST + SECOND);
};

// Guards against streams that wait for their deadline at a target whose registration has ended.
test.each([
  ['started', FIRST], ['unstarted', ': none\n'],
])('a %s stream moves away from a stalled target that is removed', async (_name, events) => {
  const started = await TestGateway.start(STREAM, [stalling(events), answering]);
  gateway = started;
  Object.assign(started.states.of(WorkerId.parse('w1')), { outstanding: 2 });
  detector = new StallDetector({
    states: started.states, clock: new SystemClock(), stallThreshold: () => STALL_THRESHOLD_MILLISECONDS,
  });
  const answer = started.call();
  await vi.waitUntil(() => started.received[0] === 1);
  started.removeTarget(0);
  detector.start();
  expect(await answer).toMatchObject({ status: 200, body: FIRST + SECOND, cut: false });
  expect(started.received).toEqual([1, 1]);
});
