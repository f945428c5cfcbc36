import type { Clock } from '@dandelionlane/core';
import type StreamAttempt from './StreamAttempt.js';
import type StreamAttemptOutcome from './StreamAttemptOutcome.js';

function describeOutcome(end: StreamAttemptOutcome): string {
  switch (end.kind) {
    case 'complete':
    case 'superseded':
      return end.kind;
    case 'failed':
    case 'passed-back':
      return `${end.kind} (status ${end.answer.status})`;
    case 'not-executed':
    case 'unsent':
    case 'broken':
      return `${end.kind} (${end.reason})`;
    default:
      return end satisfies never;
  }
}

/** Summary of an attempt that has just ended, for the log line of its request. */
export default function describeStreamAttempt(
  {
    choice: {
      candidate, load, candidates, prediction,
    }, events, sentAt, framed,
  }: StreamAttempt,
  end: StreamAttemptOutcome,
  clock: Clock,
): string {
  const { id, bornAt } = candidate.entry.worker;
  const formation = candidate.formation === '' ? '' : `@${candidate.formation}`;
  const expected = prediction === null ? '' : ` expected=${Math.round(prediction.firstEventMilliseconds)}ms`;
  const named = candidate.state.limit.requestsPerSecond(bornAt);
  const limit = named === null ? '' : ` limit=${named}/s`;
  const framing = framed === false ? ' without a length' : '';
  return `${id}${formation} load=${load.toFixed(1)}/${candidates}${limit}${expected}`
    + ` ${describeOutcome(end)}${framing} events=${events} ${Math.round(clock.monotonicMilliseconds() - sentAt)}ms`;
}
