import { expect, test } from 'vitest';
import { ManualClock } from '@dandelionlane/core';
import type Choice from '../lib/choice/Choice.js';
import AdmissionQueue from '../lib/requests/AdmissionQueue.js';

const NONE: Choice = { kind: 'none', reason: 'all-full' };
const CHOSEN = { kind: 'chosen' } as unknown as Choice;

const TOLD = { unserved: 'gave up', hopeless: 'was turned away' };

/** A waiting room with a number of free places. */
class Room {
  readonly clock = new ManualClock();

  readonly room = new AdmissionQueue(this.clock);

  readonly served: string[] = [];

  free = 0;

  async wait(name: string, onTimeUntil: number, {
    until = 10_000, queue = 'q', signal = new AbortController().signal,
  } = {}): Promise<void> {
    const outcome = await this.room.wait({
      queueKey: queue, model: null, onTimeUntil, until, signal, choose: () => (this.free > 0 ? CHOSEN : NONE),
    });
    this.free -= outcome.kind === 'served' ? 1 : 0;
    this.served.push(outcome.kind === 'served' ? name : `${name} ${TOLD[outcome.kind]}`);
  }
}

test('requests on time go first, the most urgent of them before the others', async () => {
  const room = new Room();
  room.clock.advance(100);
  const waits = [room.wait('late', 0), room.wait('later', 50), room.wait('soon', 300), room.wait('sooner', 200)];
  room.free = 4;
  await Promise.all(waits);
  expect(room.served).toEqual(['sooner', 'soon', 'late', 'later']);
  expect(room.room.size).toBe(0);
});

test('no more requests are served than there are places', async () => {
  const room = new Room();
  const first = room.wait('first', 200);
  const second = room.wait('second', 300, { until: 1_000 });
  room.free = 1;
  await first;
  expect(room.room.size).toBe(1);
  room.clock.advance(1_000);
  await second;
  expect(room.served).toEqual(['first', 'second gave up']);
});

test('a caller that left does not wait on', async () => {
  const room = new Room();
  const caller = new AbortController();
  const wait = room.wait('gone', 200, { signal: caller.signal });
  caller.abort();
  await wait;
  expect(room.served).toEqual(['gone gave up']);
});

test('a full room turns a request away at once', async () => {
  const room = new Room();
  const waits = Array.from({ length: 500 }, (_, index) => room.wait(`r${index}`, 200, { until: 100 }));
  await room.wait('one too many', 200);
  expect(room.served).toEqual(['one too many gave up']);
  room.clock.advance(100);
  await Promise.all(waits);
});

/** Serves one request every so often while 20 of them wait. */
async function overload(room: Room, milliseconds: number): Promise<void> {
  Array.from({ length: 20 }, (_, index) => void room.wait(`w${index}`, 0, { until: 60_000 }));
  for (let served = 0; served < 10; served += 1) {
    room.clock.advance(milliseconds);
    Object.assign(room, { free: 1 });
    const before = room.served.length;
    while (room.served.length === before) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }
}

test('overload: a request that cannot be served in its time is turned away at once', async () => {
  const room = new Room();
  await overload(room, 100);
  const now = room.clock.monotonicMilliseconds();
  // Ten wait before it, and ten are served a second.
  await room.wait('hopeless', 0, { until: now + 800 });
  expect(room.served.at(-1)).toBe('hopeless was turned away');
  void room.wait('hopeful', 0, { until: now + 1_500 });
  expect(room.room.size).toBe(11);
});

test('overload: a request on time waits for those on time only', async () => {
  const room = new Room();
  await overload(room, 100);
  const now = room.clock.monotonicMilliseconds();
  void room.wait('on time', now + 300, { until: now + 800 });
  expect(room.room.size).toBe(11);
});

test('overload: what is not known yet turns nobody away', async () => {
  const room = new Room();
  Array.from({ length: 20 }, (_, index) => void room.wait(`w${index}`, 0, { until: 60_000 }));
  room.clock.advance(2_000);
  void room.wait('one more', 0, { until: 2_100 });
  expect(room.room.size).toBe(21);
});
