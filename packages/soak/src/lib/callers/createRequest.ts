import type { RandomSource } from '@dandelionlane/core';
import type RequestKind from '../journal/RequestKind.js';
import type SentRequest from '../journal/SentRequest.js';
import MAXIMUM_EVENTS from './MAXIMUM_EVENTS.js';

const DEADLINE_MILLISECONDS: Readonly<Record<RequestKind, number>> = {
  safe: 1_500, once: 1_500, stream: 4_000,
};

/** Creates a request that is sent now. */
export default function createRequest(
  {
    id, kind, entry, overLink,
  }: Pick<SentRequest, 'id' | 'kind' | 'entry' | 'overLink'>,
  random: RandomSource,
): SentRequest {
  return {
    id,
    kind,
    body: `body of ${id}`,
    events: kind === 'stream' ? 1 + Math.floor(random.next() * MAXIMUM_EVENTS) : 0,
    entry,
    overLink,
    sentAt: performance.now(),
    deadlineMilliseconds: DEADLINE_MILLISECONDS[kind],
    outcome: null,
  };
}
