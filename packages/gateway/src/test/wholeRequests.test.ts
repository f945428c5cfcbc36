import { expect, test } from 'vitest';
import {
  ManualClock, PromptPartId, SeededRandom, WorkerId,
} from '@dandelionlane/core';
import PromptQuarantine from '../lib/quarantine/PromptQuarantine.js';

const DEADLY = PromptPartId.parse('request-deadly');
const SOUND = PromptPartId.parse('request-sound');
const SHARED = PromptPartId.parse('system');

function createQuarantine() {
  const clock = new ManualClock();
  return { clock, quarantine: new PromptQuarantine(clock) };
}

function crash(index: number, at: number) {
  return { id: WorkerId.parse(`w${index}`), bornAt: 1, at };
}

// Guards against a request that ends several targets at once and is sent on until more end later.
test('a request that ends three targets at once is held back at once', () => {
  const { clock, quarantine } = createQuarantine();
  [0, 1, 2].forEach((index) => quarantine.recordCrash(crash(index, clock.monotonicMilliseconds()), [DEADLY]));
  expect(quarantine.find([DEADLY])).toMatchObject({ part: DEADLY, isTrialDue: false });
  clock.advance(1_000);
  expect(quarantine.find([DEADLY])).toMatchObject({ isTrialDue: true });
});

test('a request whose trial ends one more target is held back for long', () => {
  const { clock, quarantine } = createQuarantine();
  [0, 1, 2].forEach((index) => quarantine.recordCrash(crash(index, clock.monotonicMilliseconds()), [DEADLY]));
  clock.advance(2_000);
  quarantine.recordCrash(crash(3, clock.monotonicMilliseconds()), [DEADLY]);
  clock.advance(20_000);
  expect(quarantine.find([DEADLY])).toMatchObject({ isTrialDue: false });
});

test('a sound request that stood beside several targets that ended together is tried and goes on', () => {
  const { clock, quarantine } = createQuarantine();
  [0, 1, 2].forEach((index) => quarantine.recordCrash(crash(index, clock.monotonicMilliseconds()), [SOUND]));
  clock.advance(1_000);
  quarantine.grantTrials([SOUND]);
  expect(quarantine.find([SOUND])).toBeNull();
  quarantine.recordSend([SOUND]);
  quarantine.recordServed([SOUND]);
  expect(quarantine.find([SOUND])).toBeNull();
});

test('a sound request beside a deadly one does not let that go on', () => {
  const { clock, quarantine } = createQuarantine();
  [0, 1, 2].forEach((index) => {
    quarantine.recordCrash(crash(index, clock.monotonicMilliseconds()), [DEADLY]);
    quarantine.recordCrash(crash(index, clock.monotonicMilliseconds()), [SOUND]);
    clock.advance(600);
  });
  quarantine.recordServed([SOUND]);
  expect(quarantine.find([SOUND])).toBeNull();
  expect(quarantine.find([DEADLY])).not.toBeNull();
});

// Guards against a part that crashes targets and goes on in other requests, as one request came again first.
test('a part that one request has crashed targets with is held back in others, until it is served', () => {
  const { clock, quarantine } = createQuarantine();
  [0, 1, 2].forEach((index) => {
    quarantine.recordCrash(crash(index, clock.monotonicMilliseconds()), [SHARED, DEADLY]);
    clock.advance(600);
  });
  expect(quarantine.find([SHARED, DEADLY])).not.toBeNull();
  expect(quarantine.find([SHARED, SOUND])).not.toBeNull();
  quarantine.recordServed([SHARED]);
  expect(quarantine.find([SHARED, SOUND])).toBeNull();
  expect(quarantine.find([SHARED, DEADLY])).not.toBeNull();
});

test('requests that are served are remembered only under suspicion', () => {
  const { quarantine } = createQuarantine();
  quarantine.recordServed([SOUND]);
  expect(quarantine.takeChanges()).toEqual([]);
});

const ENTRIES = 8;
const MESSAGE_PERIOD_MILLISECONDS = 120;
const ENDS = 3;
const STABLE_WINDOW_MILLISECONDS = 3_000;
const ALLOWED_LATER = 3;

/**
 * One request that comes again every 300 ms at any entry, two attempts each. One entry restarts, another has
 * no link for a while. Returns how many reach targets later than allowed.
 */
function countLater(seed: number): number {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const entries = Array.from({ length: ENTRIES }, () => new PromptQuarantine(clock));
  const unlinked = Math.floor(random.next() * ENTRIES);
  const restarted = Math.floor(random.next() * ENTRIES);
  let ends = 0;
  let decisiveAt = Number.POSITIVE_INFINITY;
  let later = 0;
  let dueAt = 0;
  for (let now = 0; now < 25_000; now += 20) {
    clock.advance(20);
    if (now >= dueAt) {
      dueAt += 600 * random.next();
      const entry = entries[Math.floor(random.next() * ENTRIES)];
      for (let attempt = 0; attempt < 2 && entry?.find([DEADLY]) === null; attempt += 1) {
        entry.recordSend([DEADLY]);
        later += now > decisiveAt + STABLE_WINDOW_MILLISECONDS ? 1 : 0;
        entry.recordCrash(crash(ends, clock.monotonicMilliseconds()), [DEADLY]);
        ends += 1;
        decisiveAt = ends === ENDS ? now : decisiveAt;
      }
    }
    if (now === 6_000) {
      entries[restarted] = new PromptQuarantine(clock);
      const known = entries[(restarted + 1) % ENTRIES]?.snapshot() ?? [];
      entries[restarted].merge(known, { ageMilliseconds: 0, forwards: false });
    }
    if (now % MESSAGE_PERIOD_MILLISECONDS === 0) {
      const isLinked = (index: number) => index !== unlinked || now < 4_000 || now > 9_000;
      const told = entries.map((entry, index) => (isLinked(index) ? entry.takeChanges() : []));
      entries.forEach((entry, index) => told.forEach((changes, from) => {
        if (isLinked(index) && from !== index) {
          entry.merge(changes, { ageMilliseconds: 0, forwards: false });
        }
      }));
    }
  }
  return later;
}

test('the bound holds over all entries, with a restart and a link down', () => {
  Array.from({ length: 40 }, (_, seed) => seed + 1)
    .forEach((seed) => expect(countLater(seed)).toBeLessThanOrEqual(ALLOWED_LATER));
});

// Guards against a part that ended five targets within a second and goes on to end more of them.
test('a part that has ended five targets within a second is not sent on without a trial', () => {
  const { clock, quarantine } = createQuarantine();
  [0, 1, 2, 3, 4].forEach((index) => {
    quarantine.recordCrash(crash(index, clock.monotonicMilliseconds()), [SHARED]);
    clock.advance(190);
  });
  clock.advance(3_000);
  expect(quarantine.find([SHARED])).not.toBeNull();
});

// Guards against a part that is sent on untried, as no group has served its requests for several seconds.
test('a part that has ended five targets within a second waits for its trial while groups are repaired', () => {
  const { clock, quarantine } = createQuarantine();
  [0, 1, 2, 3, 4].forEach((index) => {
    quarantine.recordCrash(crash(index, clock.monotonicMilliseconds()), [SHARED]);
    clock.advance(190);
  });
  clock.advance(12_000);
  expect(quarantine.find([SHARED])).toMatchObject({ isTrialDue: true });
});

// Guards against a part that each entry sends on again, as its ends within a second were long ago.
test('a part that has ended five targets within a second waits for its trial, however late its next request', () => {
  const { clock, quarantine } = createQuarantine();
  [0, 1, 2, 3, 4].forEach((index) => {
    quarantine.recordCrash(crash(index, clock.monotonicMilliseconds()), [SHARED]);
    clock.advance(190);
  });
  [37_000, 500_000].forEach((milliseconds) => {
    clock.advance(milliseconds);
    expect(quarantine.find([SHARED])).toMatchObject({ isTrialDue: true });
  });
  quarantine.grantTrials([SHARED]);
  expect(quarantine.find([SHARED])).toBeNull();
  quarantine.recordSend([SHARED]);
  expect(quarantine.find([SHARED])).not.toBeNull();
  quarantine.recordServed([SHARED]);
  expect(quarantine.find([SHARED])).toBeNull();
});
