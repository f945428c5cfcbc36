import type CheckResult from '../reconcile/CheckResult.js';
import type GroupSummary from '../recorder/GroupSummary.js';
import type LatencySummary from '../recorder/LatencySummary.js';
import OutcomeLabel from '../recorder/OutcomeLabel.js';
import drawPercentiles from './drawPercentiles.js';
import drawTimeline from './drawTimeline.js';
import escapeHTML from './escapeHTML.js';
import formatMilliseconds from './formatMilliseconds.js';
import listOutcomes from './listOutcomes.js';
import type LoadReport from './LoadReport.js';
import outcomeColours from './outcomeColours.js';

const STYLE = `
body { font: 14px/1.5 sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; color: #222; }
table { border-collapse: collapse; } td, th { padding: .2rem .6rem; text-align: left; border-bottom: 1px solid #ddd; }
svg { width: 100%; font-size: 11px; } .grid { stroke: #ddd; } .fail { color: #b00020; font-weight: bold; }
.swatch { display: inline-block; width: .8em; height: .8em; margin: 0 .3em 0 1em; }`;

type Measure = 'firstToken' | 'betweenTokens' | 'whole';

const MEASURES: readonly { readonly measure: Measure; readonly title: string }[] = [
  { measure: 'firstToken', title: 'First token' },
  { measure: 'betweenTokens', title: 'Between tokens' },
  { measure: 'whole', title: 'Whole answer' },
];

function renderRow(cells: readonly string[], tag: 'td' | 'th' = 'td'): string {
  return `<tr>${cells.map((cell) => `<${tag}>${escapeHTML(cell)}</${tag}>`).join('')}</tr>`;
}

function renderLatencyRow(name: string, summary: LatencySummary): string {
  const {
    count, p50, p90, p99, p999, maximum,
  } = summary;
  return renderRow([name, String(count), ...[p50, p90, p99, p999, maximum].map(formatMilliseconds)]);
}

function renderMeasure(groups: readonly GroupSummary[], measure: Measure, title: string): string {
  const curves = groups.flatMap((group) => {
    const summary = group[measure];
    return summary === null ? [] : [{ name: `${group.team} / ${group.service}`, summary }];
  });
  if (curves.length === 0) {
    return '';
  }
  const header = ['team / service', 'samples', 'p50', 'p90', 'p99', 'p99.9', 'max'];
  return [
    `<h2>${title}, ms by percentile</h2>`,
    drawPercentiles(curves),
    '<table>',
    renderRow(header, 'th'),
    ...curves.map(({ name, summary }) => renderLatencyRow(name, summary)),
    '</table>',
  ].join('\n');
}

function renderCheck(check: CheckResult): string {
  const verdict = check.passed ? 'pass' : '<span class="fail">fail</span>';
  const examples = check.examples.map((example) => `<br>${escapeHTML(example)}`).join('');
  return `<tr><td>${verdict}</td><td>${escapeHTML(check.name)}</td><td>${check.checked}</td>`
    + `<td>${check.violations}${examples}</td></tr>`;
}

function renderLegend(): string {
  return OutcomeLabel.options
    .map((label) => `<span class="swatch" style="background:${outcomeColours[label]}"></span>${label}`)
    .join('');
}

/** The report as one HTML page that needs nothing else. */
export default function renderHTML(report: LoadReport): string {
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>Load run ${escapeHTML(report.run)}</title>`,
    `<style>${STYLE}</style></head><body>`,
    `<h1>Load run ${escapeHTML(report.run)}: ${report.passed ? 'all checks passed' : 'checks failed'}</h1>`,
    `<p>${escapeHTML(report.startedAt)}: ${report.calls} calls, ${report.ratePerSecond}/s for `
      + `${report.durationSeconds} s, seed ${report.seed}. Latest start `
      + `${formatMilliseconds(report.maximumStartLagMilliseconds)} ms after the intended one.</p>`,
    '<h2>Checks</h2><table>',
    renderRow(['', 'check', 'checked', 'violations'], 'th'),
    ...report.checks.map(renderCheck),
    '</table>',
    '<h2>Outcomes by second of the intended start</h2>',
    drawTimeline(report.timeline),
    `<p>${renderLegend()}</p>`,
    '<table>',
    renderRow(['team', 'service', 'outcomes'], 'th'),
    ...report.groups.map(({ team, service, outcomes }) => renderRow([team, service, listOutcomes(outcomes)])),
    '</table>',
    ...MEASURES.map(({ measure, title }) => renderMeasure(report.groups, measure, title)),
    '</body></html>',
    '',
  ].join('\n');
}
