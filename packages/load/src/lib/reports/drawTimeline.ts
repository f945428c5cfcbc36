import OutcomeLabel from '../recorder/OutcomeLabel.js';
import type TimelinePoint from '../recorder/TimelinePoint.js';
import chartFrame from './chartFrame.js';
import outcomeColours from './outcomeColours.js';

const plotWidth = chartFrame.width - chartFrame.left - chartFrame.right;
const plotHeight = chartFrame.height - chartFrame.top - chartFrame.bottom;
const bottom = chartFrame.height - chartFrame.bottom;

function totalOf({ outcomes }: TimelinePoint): number {
  return OutcomeLabel.options.reduce((total, label) => total + outcomes[label], 0);
}

function drawColumn(point: TimelinePoint, seconds: number, largest: number): string {
  const width = plotWidth / seconds;
  const x = chartFrame.left + point.second * width;
  let y = bottom;
  return OutcomeLabel.options.map((label) => {
    const height = (point.outcomes[label] / largest) * plotHeight;
    y -= height;
    return height === 0 ? '' : `<rect x="${x.toFixed(2)}" y="${y.toFixed(2)}" width="${(width * 0.9).toFixed(2)}"`
      + ` height="${height.toFixed(2)}" fill="${outcomeColours[label]}"/>`;
  }).join('');
}

/** Outcomes by the second of the intended start, stacked, in one SVG chart. */
export default function drawTimeline(timeline: readonly TimelinePoint[]): string {
  const seconds = Math.max(1, ...timeline.map(({ second }) => second + 1));
  const largest = Math.max(1, ...timeline.map(totalOf));
  return [
    `<svg viewBox="0 0 ${chartFrame.width} ${chartFrame.height}" role="img">`,
    `<line x1="${chartFrame.left}" x2="${chartFrame.width - chartFrame.right}" y1="${bottom}" y2="${bottom}" class="grid"/>`,
    `<text x="${chartFrame.left - 6}" y="${chartFrame.top + 10}" text-anchor="end">${largest}/s</text>`,
    `<text x="${chartFrame.left}" y="${bottom + 16}">0 s</text>`,
    `<text x="${chartFrame.width - chartFrame.right}" y="${bottom + 16}" text-anchor="end">${seconds} s</text>`,
    ...timeline.map((point) => drawColumn(point, seconds, largest)),
    '</svg>',
  ].join('\n');
}
