import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  ManualClock, PromptPartId, SeededRandom, WorkerId,
} from '@dandelionlane/core';
import PromptQuarantine from '../lib/quarantine/PromptQuarantine.js';
import SimulatedQuarantines from './simulation/SimulatedQuarantines.js';

/** Bound of the users: requests with a part after its fifth crash and the stable window. */
const STABLE_WINDOW_MILLISECONDS = 3_000;
const ALLOWED_LATER = 3;

const [SYSTEM, DEADLY, SUBJECT] = ['system', 'deadly', 'subject'].map((name) => PromptPartId.parse(name)) as
  [PromptPartId, PromptPartId, PromptPartId];

function countLater({ crashedAt, reachedAt }: SimulatedQuarantines): number {
  const fifth = crashedAt[4] ?? Number.POSITIVE_INFINITY;
  return reachedAt.filter((at) => at > fifth + STABLE_WINDOW_MILLISECONDS).length;
}

/** Plays sound and deadly requests at random entries; each deadly one that fails is repeated once. */
function play(fleet: SimulatedQuarantines, entries: number, deadlyPeriod: number, seconds: number): void {
  const random = new SeededRandom(entries + deadlyPeriod);
  const draw = () => Math.floor(random.next() * entries);
  for (let at = 0; at < seconds * 1_000; at += 50) {
    fleet.send(draw(), [SYSTEM, PromptPartId.parse(`subject${at % 1_000}`)]);
    if (at % deadlyPeriod < 50) {
      const entry = draw();
      const parts = [SYSTEM, DEADLY, PromptPartId.parse(`subject${at}`)];
      fleet.send(entry, parts);
      fleet.advance(25);
      fleet.send(entry, parts);
    }
    fleet.advance(50);
  }
}

// Guards against requests with one part that crash back ends one after the other, over all entries together.
test.each([
  [8, 300], [9, 900], [9, 5_000], [73, 900], [300, 900], [300, 100],
])('%i entries hold a deadly part back, one request each %i ms', (entries, period) => {
  const fleet = new SimulatedQuarantines(entries);
  fleet.deadly.add(DEADLY);
  play(fleet, entries, period, 60);
  expect(fleet.crashedAt.length).toBeGreaterThanOrEqual(3);
  expect(countLater(fleet)).toBeLessThanOrEqual(ALLOWED_LATER);
  expect(fleet.wronglyRefused).toBe(0);
});

// Guards against a quarantine that is forgotten with the holder of the lease or with a restarted entry.
test('a quarantine outlives holders and restarts', () => {
  const fleet = new SimulatedQuarantines(9);
  fleet.deadly.add(DEADLY);
  play(fleet, 9, 500, 8);
  const reached = fleet.reachedAt.length;
  fleet.restart(3);
  fleet.changeHolder(3);
  play(fleet, 9, 500, 4);
  fleet.restart(0);
  fleet.changeHolder(5);
  play(fleet, 9, 500, 4);
  expect(fleet.reachedAt.length).toBe(reached);
});

/** Plays like `play` for 28 s; an entry repeats a request once, after the end of its target. */
function playWith(
  seed: number,
  disturb: (fleet: SimulatedQuarantines, at: number) => void,
): SimulatedQuarantines {
  const fleet = new SimulatedQuarantines(9);
  fleet.deadly.add(DEADLY);
  const random = new SeededRandom(seed);
  for (let at = 0; at < 28_000; at += 50) {
    disturb(fleet, at);
    fleet.send(Math.floor(random.next() * 9), [SYSTEM, PromptPartId.parse(`subject${at % 1_000}`)]);
    if (at % 850 < 50) {
      fleet.send(Math.floor(random.next() * 9), [SYSTEM, DEADLY, PromptPartId.parse(`subject${at}`)], 1);
    }
    fleet.advance(50);
  }
  return fleet;
}

// Guards against a bound that holds only while no link is down, no entry restarts and no holder changes.
test.each([
  ['one link is down all the time', (fleet: SimulatedQuarantines) => fleet.unlinked.add(3)],
  ['entries restart in turn', (fleet: SimulatedQuarantines, at: number) => {
    if (at % 2_000 === 0) {
      fleet.restart(1 + ((at / 2_000) % 8));
    }
  }],
  ['the holder changes once a second', (fleet: SimulatedQuarantines, at: number) => {
    if (at % 1_000 === 0) {
      fleet.changeHolder((at / 1_000) % 9);
    }
  }],
] as const)('a deadly part is held back while %s', (_name, disturb) => {
  [1, 2, 3, 4, 5, 6, 7, 8].forEach((seed) => {
    const fleet = playWith(seed, disturb);
    expect(countLater(fleet)).toBeLessThanOrEqual(ALLOWED_LATER);
    expect(fleet.wronglyRefused).toBe(0);
  });
});

// Guards against one more crash for each entry that has lost its link.
test('an entry without a link keeps what it knows', () => {
  const fleet = new SimulatedQuarantines(9);
  fleet.deadly.add(DEADLY);
  play(fleet, 9, 500, 8);
  Array.from({ length: 9 }, (_, entry) => fleet.unlinked.add(entry));
  play(fleet, 9, 500, 15);
  expect(countLater(fleet)).toBe(0);
});

// Guards against sound requests that are held back since their back ends were lost for other reasons.
test('losses of targets hold back no part that is served elsewhere', () => {
  fc.assert(fc.property(
    fc.integer({ min: 2, max: 12 }),
    fc.array(fc.record({
      pause: fc.integer({ min: 0, max: 900 }),
      together: fc.integer({ min: 1, max: 20 }),
      entry: fc.nat(11),
      subject: fc.nat(4),
    }), { maxLength: 25 }),
    (entries, losses) => {
      const fleet = new SimulatedQuarantines(entries);
      const partsOf = (subject: number) => [SYSTEM, PromptPartId.parse(`subject${subject}`)];
      losses.forEach(({
        pause, together, entry, subject,
      }) => {
        for (let at = 0; at <= pause; at += 100) {
          // The parts are in use: each is served somewhere three times a second.
          [0, 1, 2, 3, 4].filter((other) => (at / 100 + other) % 3 === 0)
            .forEach((other) => fleet.send((entry + other) % entries, partsOf(other)));
          fleet.advance(100);
        }
        for (let index = 0; index < together; index += 1) {
          fleet.loseTarget([{ entry: (entry + index) % entries, parts: partsOf(subject) }]);
        }
      });
      expect(fleet.wronglyRefused).toBe(0);
    },
  ), { seed: 1, numRuns: 60 });
});

// Guards against a part that stays held back for ever, and against trials by every entry.
test('a repaired part is tried once and served again', () => {
  const fleet = new SimulatedQuarantines(9);
  fleet.deadly.add(DEADLY);
  play(fleet, 9, 500, 20);
  fleet.deadly.clear();
  let refused = 0;
  for (let second = 0; second < 40; second += 1) {
    // A request asks for the permission to try for half a second.
    let isSent = false;
    for (let at = 0; at < 500 && !isSent; at += 50) {
      isSent = fleet.send(second % 9, [SYSTEM, DEADLY]);
      fleet.advance(50);
    }
    refused = isSent ? 0 : refused + 1;
    fleet.advance(500);
  }
  expect(refused).toBe(0);
});

test('trials of a part that stays deadly become rare', () => {
  const fleet = new SimulatedQuarantines(9);
  fleet.deadly.add(DEADLY);
  play(fleet, 9, 500, 300);
  expect(countLater(fleet)).toBeLessThanOrEqual(ALLOWED_LATER);
});

test('parts that the same crashes accuse are held back only together', () => {
  const clock = new ManualClock();
  const quarantine = new PromptQuarantine(clock);
  for (let index = 0; index < 4; index += 1) {
    quarantine.recordCrash({ id: WorkerId.parse(`w${index}`), bornAt: 1, at: index * 400 }, [DEADLY, SUBJECT]);
    clock.advance(400);
  }
  expect(quarantine.find([SUBJECT])).toBeNull();
  expect(quarantine.find([DEADLY, SUBJECT])?.part).toBe(DEADLY);
  quarantine.recordCrash({ id: WorkerId.parse('w9'), bornAt: 1, at: 1_600 }, [DEADLY]);
  expect([quarantine.find([DEADLY])?.part, quarantine.find([SUBJECT])]).toEqual([DEADLY, null]);
});

test('the table is bounded, as callers choose the names of parts', () => {
  const quarantine = new PromptQuarantine(new ManualClock());
  for (let index = 0; index < 2_000; index += 1) {
    quarantine.recordCrash({ id: WorkerId.parse('w'), bornAt: index, at: 0 }, [PromptPartId.parse(`part${index}`)]);
  }
  expect(quarantine.snapshot().length).toBeLessThanOrEqual(256);
});
