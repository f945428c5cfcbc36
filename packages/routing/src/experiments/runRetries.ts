import { SeededRandom } from '@dandelionlane/core';
import {
  decideRetry, RetryBudget, type AttemptProgress,
} from '../index.js';
import drawInterarrivalMilliseconds from './drawInterarrivalMilliseconds.js';
import printTable from './printTable.js';

const PER_SECOND = 300;
const RUN_MILLISECONDS = 180_000;
const OUTAGE_FROM_MILLISECONDS = 60_000;
const OUTAGE_TO_MILLISECONDS = 120_000;
const BASELINE_FAILURE_SHARE = 0.002;

/** Whether all requests share one retry budget, or each request has a budget of its own. */
type Budgeting = 'one budget' | 'no budget';

/** Totals over a period. */
interface Totals {
  offered: number;
  attempts: number;
  answered: number;
}

/** Draws the progress of a failed attempt: half fail before a byte is sent, half after. */
function drawProgress(random: SeededRandom): AttemptProgress {
  return random.next() < 0.5 ? { kind: 'not-sent' } : { kind: 'sent' };
}

/** Runs one request with its retries to the end and adds it to the totals. */
function runRequest(random: SeededRandom, failures: number, budget: RetryBudget, totals: Totals): void {
  const sum = totals;
  let mayHaveRunBefore = false;
  for (let attempts = 1; ; attempts += 1) {
    sum.attempts += 1;
    if (random.next() >= failures) {
      sum.answered += 1;
      return;
    }
    const progress = drawProgress(random);
    const decision = decideRetry({
      repeatable: true,
      resumable: false,
      progress,
      cause: progress.kind === 'not-sent' ? 'target-refused' : 'target-lost',
      mayHaveRunBefore,
      attempts,
      hasAlternative: true,
      remainingMilliseconds: 10_000,
      budget,
    });
    mayHaveRunBefore ||= progress.kind === 'sent';
    if (decision.kind === 'give-up') {
      return;
    }
  }
}

function runOne(budgeting: Budgeting, outageFailures: number): Record<string, string | number> {
  const random = new SeededRandom(5);
  const shared = new RetryBudget();
  const baseline: Totals = { offered: 0, attempts: 0, answered: 0 };
  const outage: Totals = { offered: 0, attempts: 0, answered: 0 };
  for (let now = 0; now < RUN_MILLISECONDS; now += drawInterarrivalMilliseconds(random, PER_SECOND)) {
    const isOutage = now >= OUTAGE_FROM_MILLISECONDS && now < OUTAGE_TO_MILLISECONDS;
    const totals = isOutage ? outage : baseline;
    const budget = budgeting === 'one budget' ? shared : new RetryBudget();
    totals.offered += 1;
    budget.recordRequest();
    runRequest(random, isOutage ? outageFailures : BASELINE_FAILURE_SHARE, budget, totals);
  }
  return {
    budgeting,
    'failing in outage %': 100 * outageFailures,
    'attempts over offered, outage': Math.round((1_000 * outage.attempts) / outage.offered) / 1_000,
    'answered, outage %': Math.round((1_000 * outage.answered) / outage.offered) / 10,
    'attempts over offered, else': Math.round((1_000 * baseline.attempts) / baseline.offered) / 1_000,
    'answered, else %': Math.round((100_000 * baseline.answered) / baseline.offered) / 1_000,
  };
}

/** Compares the total load in an outage with and without a shared retry budget. */
export default function runRetries(): void {
  const rows = [0.05, 0.3, 0.9, 1].flatMap((failures) => [
    runOne('one budget', failures),
    runOne('no budget', failures),
  ]);
  printTable('Retries: attempts over offered requests in an outage of 60 s, 300 requests/s, seed 5', rows);
}
