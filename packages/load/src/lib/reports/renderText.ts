import type CheckResult from '../reconcile/CheckResult.js';
import type GroupSummary from '../recorder/GroupSummary.js';
import type LatencySummary from '../recorder/LatencySummary.js';
import formatMilliseconds from './formatMilliseconds.js';
import listOutcomes from './listOutcomes.js';
import type LoadReport from './LoadReport.js';

function renderLatency(name: string, summary: LatencySummary | null): string[] {
  if (summary === null) {
    return [];
  }
  const figures = [
    ['p50', summary.p50], ['p90', summary.p90], ['p99', summary.p99],
    ['p99.9', summary.p999], ['max', summary.maximum],
  ] as const;
  const words = figures.map(([label, value]) => `${label} ${formatMilliseconds(value)}`);
  return [`    ${name.padEnd(14)} ${words.join('  ')}  (ms, ${summary.count} samples)`];
}

function renderGroup(group: GroupSummary): string[] {
  return [
    `  ${group.team} / ${group.service}: ${listOutcomes(group.outcomes)}`,
    ...renderLatency('first token', group.firstToken),
    ...renderLatency('between tokens', group.betweenTokens),
    ...renderLatency('whole answer', group.whole),
  ];
}

function renderCheck(check: CheckResult): string[] {
  const verdict = check.passed ? 'pass' : 'FAIL';
  return [
    `  ${verdict} ${check.name}: ${check.checked} checked, ${check.violations} violations`,
    ...check.examples.map((example) => `       ${example}`),
  ];
}

/** The report as plain text. */
export default function renderText(report: LoadReport): string {
  return [
    `Run ${report.run} at ${report.startedAt}`,
    `  ${report.calls} calls, ${report.ratePerSecond}/s for ${report.durationSeconds} s, seed ${report.seed}`,
    `  latest start ${formatMilliseconds(report.maximumStartLagMilliseconds)} ms after the intended one`,
    ...(report.maximumRunningWhileCold === null
      ? ['  targets not reconciled: no journals']
      : [`  at most ${report.maximumRunningWhileCold} requests at one time on a cold target`]),
    'Teams and services',
    ...report.groups.flatMap(renderGroup),
    'Checks',
    ...report.checks.flatMap(renderCheck),
    '',
  ].join('\n');
}
