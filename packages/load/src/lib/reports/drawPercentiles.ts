import type LatencySummary from '../recorder/LatencySummary.js';
import chartFrame from './chartFrame.js';
import escapeHTML from './escapeHTML.js';
import formatMilliseconds from './formatMilliseconds.js';

const LARGEST_NINES = 4;
const TICKS = [
  { percentile: 0, label: '0' },
  { percentile: 90, label: '90' },
  { percentile: 99, label: '99' },
  { percentile: 99.9, label: '99.9' },
  { percentile: 99.99, label: '99.99' },
];
const COLOURS = ['#1b6ca8', '#d1495b', '#66a182', '#8d6a9f', '#edae49', '#2e4057'];

/** A named curve. */
interface Curve {
  readonly name: string;
  readonly summary: LatencySummary;
}

const plotWidth = chartFrame.width - chartFrame.left - chartFrame.right;
const plotHeight = chartFrame.height - chartFrame.top - chartFrame.bottom;

function xOf(percentile: number): number {
  const nines = -Math.log10(Math.max(1 - percentile / 100, 10 ** -LARGEST_NINES));
  return chartFrame.left + (nines / LARGEST_NINES) * plotWidth;
}

function yOf(milliseconds: number, largest: number): number {
  return chartFrame.top + (1 - milliseconds / largest) * plotHeight;
}

function drawCurve({ summary }: Curve, index: number, largest: number): string {
  const points = summary.curve
    .map(({ percentile, milliseconds }) => `${xOf(percentile).toFixed(1)},${yOf(milliseconds, largest).toFixed(1)}`)
    .join(' ');
  return `<polyline fill="none" stroke="${COLOURS[index % COLOURS.length]}" stroke-width="1.5" points="${points}"/>`;
}

function drawTick({ percentile, label }: typeof TICKS[number]): string {
  const x = xOf(percentile).toFixed(1);
  const bottom = chartFrame.height - chartFrame.bottom;
  return `<line x1="${x}" x2="${x}" y1="${chartFrame.top}" y2="${bottom}" class="grid"/>`
    + `<text x="${x}" y="${bottom + 16}" text-anchor="middle">${label}</text>`;
}

function drawLevel(share: number, largest: number): string {
  const y = yOf(largest * share, largest).toFixed(1);
  return `<line x1="${chartFrame.left}" x2="${chartFrame.width - chartFrame.right}" y1="${y}" y2="${y}" class="grid"/>`
    + `<text x="${chartFrame.left - 6}" y="${y}" text-anchor="end">${formatMilliseconds(largest * share)}</text>`;
}

function drawName({ name }: Curve, index: number): string {
  const y = chartFrame.top + 14 + index * 14;
  return `<text x="${chartFrame.left + 8}" y="${y}" fill="${COLOURS[index % COLOURS.length]}">${escapeHTML(name)}</text>`;
}

/** Percentile curves in one SVG chart; the percentile axis is logarithmic towards 100. */
export default function drawPercentiles(curves: readonly Curve[]): string {
  const largest = Math.max(1, ...curves.map(({ summary }) => summary.maximum));
  return [
    `<svg viewBox="0 0 ${chartFrame.width} ${chartFrame.height}" role="img">`,
    ...TICKS.map(drawTick),
    ...[0, 0.25, 0.5, 0.75, 1].map((share) => drawLevel(share, largest)),
    ...curves.map((curve, index) => drawCurve(curve, index, largest)),
    ...curves.map(drawName),
    '</svg>',
  ].join('\n');
}
