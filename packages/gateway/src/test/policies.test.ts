import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  AvailabilityZoneId, ManualClock, ModelName, SeededRandom, ServiceId, WorkerId,
} from '@dandelionlane/core';
import { quietLimitMilliseconds, type EngineProfile, type WorkerEntry } from '@dandelionlane/fleet';
import type Candidate from '../lib/choice/Candidate.js';
import RepeatBudget from '../lib/choice/RepeatBudget.js';
import chooseTarget from '../lib/choice/chooseTarget.js';
import EventOrder from '../lib/relay/EventOrder.js';
import StallDetector from '../lib/targets/StallDetector.js';
import TargetStates from '../lib/targets/TargetStates.js';

const PARAMETERS = { seed: 20_261_204, numRuns: 300 };
const SERVICE = ServiceId.parse('s');
const ZONE = AvailabilityZoneId.parse('a');
const RATIO = 0.2;
const EXTRA = 134;
const WINDOW_MILLISECONDS = 10_000;

test('entries together keep the shared bound on repeats in any window', () => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 12 }),
    fc.array(fc.record({
      entry: fc.nat(11), repeat: fc.boolean(), pause: fc.nat(120),
    }), { maxLength: 1_500 }),
    (entries, events) => {
      const clock = new ManualClock();
      const settings = { ratio: RATIO, extra: EXTRA, windowMilliseconds: WINDOW_MILLISECONDS };
      const budgets = Array.from({ length: entries }, () => new RepeatBudget(clock, settings));
      const requests: number[] = [];
      const repeats: number[] = [];
      events.forEach(({ entry, repeat, pause }) => {
        clock.advance(pause);
        const budget = budgets[entry % entries];
        if (!repeat) {
          budget?.request(SERVICE);
          requests.push(clock.monotonicMilliseconds());
        } else if (budget?.tryRepeat(SERVICE, entries) === true) {
          repeats.push(clock.monotonicMilliseconds());
        }
      });
      repeats.forEach((end) => {
        const inWindow = (at: number) => at > end - WINDOW_MILLISECONDS && at <= end;
        const before = (at: number) => at > end - 2 * WINDOW_MILLISECONDS && at <= end;
        const allowed = RATIO * requests.filter(before).length + EXTRA;
        expect(repeats.filter(inWindow).length).toBeLessThanOrEqual(allowed);
      });
    },
  ), PARAMETERS);
});

test('events go out once and in order over any runs', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 60 }), (ids) => {
    const order = new EventOrder(null);
    const delivered: number[] = [];
    ids.forEach((id) => {
      if (order.take(String(id)) === 'next') {
        delivered.push(id);
      }
    });
    delivered.forEach((id, index) => {
      expect(id).toBe((delivered[0] ?? 0) + index);
    });
  }), PARAMETERS);
});

function candidate(states: TargetStates, name: string, overrides: Partial<Candidate> = {}): Candidate {
  const id = WorkerId.parse(name);
  const entry = { worker: { id, zone: ZONE }, coldUntil: 0 } as unknown as WorkerEntry;
  return {
    entry, state: states.of(id), formation: 'g/1', slots: 4, whole: true, ...overrides,
  };
}

function choose(candidates: readonly Candidate[], clock: ManualClock, isModel = true) {
  return chooseTarget({
    candidates,
    zone: ZONE,
    entries: 1,
    now: clock.monotonicMilliseconds(),
    random: new SeededRandom(7),
    coldRequestsPerSecond: 4,
    isModel,
  });
}

test('a target that stands still is left out until its group is formed anew', () => {
  const clock = new ManualClock();
  const states = new TargetStates(clock);
  const one = candidate(states, 'one');
  one.state.suspect('g/1', 500);
  expect(choose([one], clock)).toEqual({ kind: 'none', reason: 'all-suspected' });
  expect(choose([candidate(states, 'one', { formation: 'g/2' })], clock).kind).toBe('chosen');
  clock.advance(600);
  expect(choose([one], clock).kind).toBe('chosen');
});

test('a full target is left out', () => {
  const clock = new ManualClock();
  const states = new TargetStates(clock);
  const one = candidate(states, 'one');
  one.state.outstanding = 8;
  expect(choose([one], clock)).toEqual({ kind: 'none', reason: 'all-full' });
});

test('a cold target gets no more than its share a second', () => {
  const clock = new ManualClock();
  const states = new TargetStates(clock);
  const one = candidate(states, 'one');
  const cold = { ...one, entry: { ...one.entry, coldUntil: 5_000 } };
  Array.from({ length: 4 }).forEach(() => cold.state.sending());
  expect(choose([cold], clock)).toEqual({ kind: 'none', reason: 'all-cold' });
  clock.advance(1_000);
  expect(choose([cold], clock).kind).toBe('chosen');
});

test('a plain target that fails its requests is avoided', () => {
  const clock = new ManualClock();
  const states = new TargetStates(clock);
  const bad = candidate(states, 'bad', { formation: '' });
  const good = candidate(states, 'good', { formation: '' });
  Array.from({ length: 20 }).forEach(() => bad.state.failed());
  const choice = choose([bad, good], clock, false);
  expect(choice.kind === 'chosen' && choice.candidate).toBe(good);
});

const ENGINE: EngineProfile = {
  slots: 10,
  models: [{ name: ModelName.parse('m'), groupSize: 2, pace: 1 }],
  loadsPerSecond: 1,
  promptTokensPerSecond: 1_000,
  stepMilliseconds: 5,
  stepMillisecondsPerRequest: 0.5,
  stepsPerPass: 4,
  reportLagMilliseconds: 0,
};

test('the limit of silence grows with the prompts to read', () => {
  const model = ModelName.parse('m');
  expect(quietLimitMilliseconds(ENGINE, model, 0)).toBe(170);
  expect(quietLimitMilliseconds(ENGINE, model, 100)).toBe(270);
});

test('streams leave a target that has fallen silent, those without an event first', () => {
  const clock = new ManualClock();
  const states = new TargetStates(clock);
  const worker = WorkerId.parse('w');
  const moved: string[] = [];
  const stream = (name: string, lastEventAt: number | null) => ({
    sentAt: 0,
    lastEventAt,
    promptTokens: 0,
    model: null,
    paused: false,
    formation: 'g/1',
    stalled: () => {
      moved.push(name);
    },
  });
  states.of(worker).streams.add(stream('started', 0)).add(stream('unstarted', null));
  states.of(worker).progressed();
  const detector = new StallDetector({ states, clock, quietLimit: () => 170 });
  const wait = (milliseconds: number) => {
    for (let waited = 0; waited < milliseconds; waited += 40) {
      clock.advance(40);
      detector.check();
    }
  };
  wait(160);
  expect(moved).toEqual([]);
  wait(40);
  expect(moved).toEqual(['unstarted']);
  expect(states.of(worker).isSuspected('g/1')).toBe(true);
  wait(120);
  expect(moved).toContain('started');
});

test('a delay of this process is no silence of a target', () => {
  const clock = new ManualClock();
  const states = new TargetStates(clock);
  const worker = WorkerId.parse('w');
  let moved = false;
  states.of(worker).streams.add({
    sentAt: 0,
    lastEventAt: 0,
    promptTokens: 0,
    model: null,
    paused: false,
    formation: 'g/1',
    stalled: () => {
      moved = true;
    },
  });
  states.of(worker).progressed();
  const detector = new StallDetector({ states, clock, quietLimit: () => 170 });
  clock.advance(900);
  detector.check();
  expect(moved).toBe(false);
});
