import {
  EntryId, Incarnation, RowVersion, VMId,
} from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  ConcurrencyLimiter, GRANT_MARGIN_MILLISECONDS, GRANT_TERM_MILLISECONDS, type WholeReplica,
} from '../index.js';
import ColdStartModel from './ColdStartModel.js';
import type ModelEvent from './ModelEvent.js';
import type ModelTotals from './ModelTotals.js';

const SEED = 20_261_203;
const small = fc.nat({ max: 11 });

/** Generates events of one kind with random fields. */
function eventOf<Kind extends ModelEvent['kind']>(
  weight: number,
  kind: Kind,
  fields: { [Field in Exclude<keyof Extract<ModelEvent, { kind: Kind }>, 'kind'>]:
    fc.Arbitrary<Extract<ModelEvent, { kind: Kind }>[Field]> },
): fc.WeightedArbitrary<ModelEvent> {
  const arbitrary = fc.record({ kind: fc.constant(kind), ...fields });
  return { weight, arbitrary: arbitrary as unknown as fc.Arbitrary<ModelEvent> };
}

const shortTimes = fc.constantFrom(1, 100, 300, 900);
const longTimes = fc.constantFrom(2_500, 6_000, 61_000, GRANT_TERM_MILLISECONDS / 2);
const phases = fc.constantFrom('cold' as const, 'warm' as const);

/** Weighted so that runs cover grant moves, cold restarts and dispatches in both phases. */
const modelEvent: fc.Arbitrary<ModelEvent> = fc.oneof(
  eventOf(6, 'advance', { milliseconds: shortTimes }),
  eventOf(2, 'advance', { milliseconds: longTimes }),
  eventOf(1, 'phase', { vm: small, phase: phases, restarts: fc.boolean() }),
  eventOf(2, 'warmUp', {}),
  eventOf(2, 'report', {}),
  eventOf(8, 'deliver', { pick: fc.nat({ max: 60 }), to: small, repeats: fc.boolean() }),
  eventOf(14, 'catchUp', { entry: small }),
  eventOf(3, 'startRead', { entry: small }),
  eventOf(3, 'endRead', { pick: small }),
  eventOf(2, 'cut', { entry: small, isPartitioned: fc.boolean() }),
  eventOf(3, 'acknowledge', { entry: small }),
  eventOf(1, 'crash', { entry: small }),
  eventOf(1, 'restart', { entry: small }),
  eventOf(2, 'homes', { homes: fc.array(small, { minLength: 1, maxLength: 3 }) }),
  eventOf(5, 'plan', {}),
  eventOf(1, 'takeover', {}),
  eventOf(16, 'dispatch', { entry: small, burst: fc.integer({ min: 1, max: 4 }) }),
  eventOf(8, 'finish', { pick: small, result: fc.constantFrom('success' as const, 'failure' as const, 'lost' as const) }),
);

/** Few kinds of events and two homes, so that runs cover moves from a partitioned holder to a new one. */
const moveEvent: fc.Arbitrary<ModelEvent> = fc.oneof(
  eventOf(2, 'advance', { milliseconds: shortTimes }),
  eventOf(1, 'advance', { milliseconds: fc.constantFrom(6_000, 61_000) }),
  eventOf(2, 'advance', { milliseconds: fc.constant(GRANT_TERM_MILLISECONDS + GRANT_MARGIN_MILLISECONDS) }),
  eventOf(10, 'catchUp', { entry: fc.nat({ max: 2 }) }),
  eventOf(2, 'startRead', { entry: fc.nat({ max: 1 }) }),
  eventOf(2, 'endRead', { pick: fc.constant(0) }),
  eventOf(2, 'cut', { entry: fc.constant(0), isPartitioned: fc.boolean() }),
  eventOf(2, 'acknowledge', { entry: fc.nat({ max: 1 }) }),
  eventOf(1, 'restart', { entry: fc.nat({ max: 1 }) }),
  eventOf(2, 'homes', { homes: fc.constantFrom([0], [1]) }),
  eventOf(6, 'plan', {}),
  eventOf(8, 'dispatch', { entry: fc.nat({ max: 1 }), burst: fc.constant(1) }),
);

/** Runs a model on each list of events and returns the total counts of events. */
function runModels(events: fc.Arbitrary<ModelEvent>, entries: fc.Arbitrary<number>): ModelTotals {
  const totals = { dispatches: 0, coldDispatches: 0, plans: 0 };
  const lists = fc.array(events, { minLength: 100, maxLength: 400, size: 'max' });
  const cold = fc.integer({ min: 1, max: 5 });
  fc.assert(fc.property(cold, entries, lists, (coldConcurrency, count, list) => {
    const limits = { coldConcurrency, warmConcurrency: 12, requestTimeoutMilliseconds: 60_000 };
    const model = new ColdStartModel(limits, count);
    list.forEach((item) => model.apply(item));
    totals.dispatches += model.totals.dispatches;
    totals.coldDispatches += model.totals.coldDispatches;
    totals.plans += model.totals.plans;
    expect(model.violations).toEqual([]);
  }), { seed: SEED, numRuns: 5_000 });
  return totals;
}

test('cold limit holds in any order of events', () => {
  const totals = runModels(modelEvent, fc.integer({ min: 2, max: 4 }));
  // The runs must cover dispatches in both phases.
  expect(totals.coldDispatches).toBeGreaterThan(8_000);
  expect(totals.dispatches - totals.coldDispatches).toBeGreaterThan(8_000);
});

test('cold limit holds while grants move between entries', () => {
  const totals = runModels(moveEvent, fc.constant(2));
  expect(totals.coldDispatches).toBeGreaterThan(8_000);
});

test('limit grows with successes and resets at once', () => {
  const grant = { entry: EntryId.parse('entry-0'), cold: 2, warm: 6 };
  const limiter = new ConcurrencyLimiter({ grant, version: RowVersion.parse(1), readAtMilliseconds: 0 });
  const whole = (receivedAtMilliseconds: number, incarnation = 1): WholeReplica => ({
    kind: 'whole',
    phase: 'warm',
    members: [{ vm: VMId.parse('vm-1'), incarnation: Incarnation.parse(incarnation) }],
    receivedAtMilliseconds,
    freshUntilMilliseconds: receivedAtMilliseconds + 3_000,
  });
  const succeed = (times: number, now: number): void => {
    Array.from({ length: times }, () => limiter.recordDispatch())
      .forEach((ticket) => limiter.recordCompletion(ticket, 'success', now));
  };
  limiter.updateAssessment(whole(0));
  expect(limiter.allowed(0)).toBe(2);
  succeed(2, 0);
  expect(limiter.allowed(0)).toBe(4);
  succeed(20, 0);
  expect(limiter.allowed(0)).toBe(6);
  // The limit drops to 0 when the assessment is stale, and resets when the incarnation changes.
  expect(limiter.allowed(3_000)).toBe(0);
  limiter.updateAssessment(whole(3_000, 2));
  expect(limiter.allowed(3_000)).toBe(2);
  succeed(20, 3_000);
  const sentBefore = limiter.recordDispatch();
  limiter.recordCompletion(limiter.recordDispatch(), 'lost', 3_000);
  // Warm reports that may predate the loss do not count, later ones do.
  limiter.updateAssessment(whole(5_999, 2));
  succeed(20, 5_999);
  expect(limiter.allowed(5_999)).toBe(2);
  limiter.updateAssessment(whole(6_000, 2));
  limiter.recordCompletion(sentBefore, 'success', 6_000);
  expect(limiter.allowed(6_000)).toBe(2);
  succeed(2, 6_000);
  expect(limiter.allowed(6_000)).toBe(4);
});
