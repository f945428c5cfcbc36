import { ERROR_ANSWERS } from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  decideHedge, decideRetry, mayHaveRun, RetryBudget, type AttemptProgress, type FailureCause,
} from '../index.js';

const SEED = 20_261_203;

const progress: fc.Arbitrary<AttemptProgress> = fc.oneof(
  fc.constant<AttemptProgress>({ kind: 'not-sent' }),
  fc.constant<AttemptProgress>({ kind: 'refused' }),
  fc.constant<AttemptProgress>({ kind: 'sent' }),
  fc.nat({ max: 9 }).map((deliveredTokens): AttemptProgress => ({ kind: 'answering', deliveredTokens })),
);
const cause = fc.constantFrom<FailureCause>('target-refused', 'target-lost', 'target-timeout', 'replica-not-whole');
const failure = fc.record({
  progress, cause, hasAlternative: fc.boolean(), remainingMilliseconds: fc.constantFrom(0, 5_000, 60_000),
});

test('non-repeatable calls run at most once and not-run is reported truthfully', () => {
  const decisions = new Set<string>();
  fc.assert(fc.property(
    fc.boolean(),
    fc.boolean(),
    fc.array(failure, { minLength: 1, maxLength: 6 }),
    fc.nat({ max: 14 }),
    (repeatable, resumable, failures, spent) => {
      const budget = new RetryBudget();
      Array.from({ length: spent }, () => budget.tryAcquire());
      let executions = 0;
      for (const [index, attempt] of failures.entries()) {
        const mayHaveRunBefore = executions > 0;
        executions += mayHaveRun(attempt.progress) ? 1 : 0;
        const decision = decideRetry({
          ...attempt, repeatable, resumable, mayHaveRunBefore, attempts: index + 1, budget,
        });
        decisions.add(decision.kind === 'give-up' ? decision.reason : decision.kind);
        if (decision.kind === 'give-up') {
          const isNotRun = ERROR_ANSWERS[decision.error].outcome === 'not-run';
          expect(isNotRun).toBe(executions === 0);
          break;
        }
        if (attempt.progress.kind === 'answering' && attempt.progress.deliveredTokens > 0) {
          expect(decision).toEqual({ kind: 'resume', deliveredTokens: attempt.progress.deliveredTokens });
          expect(resumable).toBe(true);
        }
        // The decision is to make another attempt.
        expect(repeatable || executions === 0).toBe(true);
      }
    },
  ), { seed: SEED, numRuns: 20_000 });
  expect(decisions.size).toBe(8);
});

test('budget bounds extra attempts in any order of events', () => {
  fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 3_000, size: 'max' }), (events) => {
    const budget = new RetryBudget();
    let fresh = 0;
    let extra = 0;
    events.forEach((isFresh) => {
      if (isFresh) {
        fresh += 1;
        budget.recordRequest();
      } else {
        extra += budget.tryAcquire() ? 1 : 0;
      }
      expect(extra).toBeLessThanOrEqual(0.08 * fresh + 10);
    });
  }), { seed: SEED, numRuns: 200 });
});

test('hedges only late, repeatable calls within the budget', () => {
  fc.assert(fc.property(fc.record({
    repeatable: fc.boolean(),
    hasAnswerBegun: fc.boolean(),
    attemptsInFlight: fc.integer({ min: 1, max: 2 }),
    elapsedMilliseconds: fc.nat({ max: 200 }),
    hedgeDelayMilliseconds: fc.option(fc.nat({ max: 200 })),
    hasAlternative: fc.boolean(),
  }), fc.nat({ max: 12 }), (input, spent) => {
    const budget = new RetryBudget();
    Array.from({ length: spent }, () => budget.tryAcquire());
    const before = budget.available;
    const isLate = input.hedgeDelayMilliseconds !== null
      && input.elapsedMilliseconds >= input.hedgeDelayMilliseconds;
    const isAllowed = input.repeatable && !input.hasAnswerBegun && input.attemptsInFlight === 1
      && isLate && input.hasAlternative && before > 3;
    expect(decideHedge({ ...input, budget }).kind === 'hedge').toBe(isAllowed);
    expect(budget.available).toBe(isAllowed ? before - 1 : before);
  }), { seed: SEED, numRuns: 5_000 });
});
