import { expect, test } from 'vitest';
import { ManualClock } from '@dandelionlane/core';
import type Choice from '../lib/choice/Choice.js';
import AdmissionQueue from '../lib/requests/AdmissionQueue.js';

const NONE: Choice = { kind: 'none', reason: 'all-full' };
const CHOSEN = { kind: 'chosen' } as unknown as Choice;

const OUTCOME_TEXTS = { unserved: 'was not served', rejected: 'was rejected' };

/** A queue in front of a number of free slots. */
class TestQueue {
  readonly clock = new ManualClock();

  readonly admissionQueue = new AdmissionQueue(this.clock);

  readonly served: string[] = [];

  free = 0;

  async wait(name: string, onTimeUntil: number, {
    until = 10_000, queueKey = 'q', signal = new AbortController().signal,
  } = {}): Promise<void> {
    const outcome = await this.admissionQueue.wait({
      queueKey, model: null, onTimeUntil, until, signal, choose: () => (this.free > 0 ? CHOSEN : NONE),
    });
    this.free -= outcome.kind === 'served' ? 1 : 0;
    this.served.push(outcome.kind === 'served' ? name : `${name} ${OUTCOME_TEXTS[outcome.kind]}`);
  }
}

test('requests on time go first, the earliest deadline first', async () => {
  const queue = new TestQueue();
  queue.clock.advance(100);
  const waits = [queue.wait('late', 0), queue.wait('later', 50), queue.wait('soon', 300), queue.wait('sooner', 200)];
  queue.free = 4;
  await Promise.all(waits);
  expect(queue.served).toEqual(['sooner', 'soon', 'late', 'later']);
  expect(queue.admissionQueue.size).toBe(0);
});

test('no more requests are served than there are slots', async () => {
  const queue = new TestQueue();
  const first = queue.wait('first', 200);
  const second = queue.wait('second', 300, { until: 1_000 });
  queue.free = 1;
  await first;
  expect(queue.admissionQueue.size).toBe(1);
  queue.clock.advance(1_000);
  await second;
  expect(queue.served).toEqual(['first', 'second was not served']);
});

test('a request whose caller has gone stops waiting', async () => {
  const queue = new TestQueue();
  const caller = new AbortController();
  const wait = queue.wait('gone', 200, { signal: caller.signal });
  caller.abort();
  await wait;
  expect(queue.served).toEqual(['gone was not served']);
});

test('a full queue refuses a request at once', async () => {
  const queue = new TestQueue();
  const waits = Array.from({ length: 500 }, (_, index) => queue.wait(`r${index}`, 200, { until: 100 }));
  await queue.wait('one too many', 200);
  expect(queue.served).toEqual(['one too many was not served']);
  queue.clock.advance(100);
  await Promise.all(waits);
});

/** Serves ten of 20 waiting requests, one each time the given duration has passed. */
async function overload(queue: TestQueue, milliseconds: number): Promise<void> {
  Array.from({ length: 20 }, (_, index) => void queue.wait(`w${index}`, 0, { until: 60_000 }));
  for (let served = 0; served < 10; served += 1) {
    queue.clock.advance(milliseconds);
    Object.assign(queue, { free: 1 });
    const before = queue.served.length;
    while (queue.served.length === before) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }
}

test('overload: a request that cannot be served in its time is rejected at once', async () => {
  const queue = new TestQueue();
  await overload(queue, 100);
  const now = queue.clock.monotonicMilliseconds();
  // Ten wait ahead of it, and ten are served per second.
  await queue.wait('hopeless', 0, { until: now + 800 });
  expect(queue.served.at(-1)).toBe('hopeless was rejected');
  void queue.wait('hopeful', 0, { until: now + 1_500 });
  expect(queue.admissionQueue.size).toBe(11);
});

test('overload: a request on time waits behind those on time only', async () => {
  const queue = new TestQueue();
  await overload(queue, 100);
  const now = queue.clock.monotonicMilliseconds();
  void queue.wait('on time', now + 300, { until: now + 800 });
  expect(queue.admissionQueue.size).toBe(11);
});

test('overload: no request is rejected while the service rate is unknown', async () => {
  const queue = new TestQueue();
  Array.from({ length: 20 }, (_, index) => void queue.wait(`w${index}`, 0, { until: 60_000 }));
  queue.clock.advance(2_000);
  void queue.wait('one more', 0, { until: 2_100 });
  expect(queue.admissionQueue.size).toBe(21);
});
