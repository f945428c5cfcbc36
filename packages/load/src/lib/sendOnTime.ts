import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '@dandelionlane/core';
import type PlannedCall from './arrivals/PlannedCall.js';
import type CallResult from './callers/CallResult.js';
import type Recorder from './recorder/Recorder.js';

/** What sends the calls of a run. */
interface SendingParts {
  readonly clock: Clock;
  readonly recorder: Recorder;
  send(call: PlannedCall): Promise<CallResult>;
}

async function sendOne(call: PlannedCall, intendedStart: number, parts: SendingParts): Promise<void> {
  const sentAt = parts.clock.monotonicMilliseconds();
  const result = await parts.send(call);
  parts.recorder.record({
    call, result, intendedStart, sentAt, endedAt: parts.clock.monotonicMilliseconds(),
  });
}

/**
 * Sends each call at its intended start, whether or not earlier ones were answered,
 * and ends when all have. A call that is due late is sent at once; its times still
 * count from the intended start.
 */
export default async function sendOnTime(calls: Iterable<PlannedCall>, parts: SendingParts): Promise<void> {
  const begin = parts.clock.monotonicMilliseconds();
  const sent: Promise<void>[] = [];
  for (const call of calls) {
    const intendedStart = begin + call.offsetMilliseconds;
    const wait = intendedStart - parts.clock.monotonicMilliseconds();
    if (wait > 0) {
      await delay(wait);
    }
    sent.push(sendOne(call, intendedStart, parts));
  }
  await Promise.all(sent);
}
