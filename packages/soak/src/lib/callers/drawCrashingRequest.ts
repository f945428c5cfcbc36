import type { RandomSource } from '@dandelionlane/core';
import SOAK_NAMES from '../SOAK_NAMES.js';
import type SoakEntry from '../entries/SoakEntry.js';
import pick from '../faults/pick.js';
import type RequestBatch from './RequestBatch.js';
import createRequest from './createRequest.js';

/** Bounds of the time between two requests, in ms. */
const SHORTEST_GAP_MILLISECONDS = 200;
const LONGEST_GAP_MILLISECONDS = 1_000;

/** Draws one request, again and again the same, at any entry: it ends each worker that begins it. */
export default function drawCrashingRequest(
  entries: readonly SoakEntry[],
  sent: number,
  random: RandomSource,
): RequestBatch {
  const entry = pick(entries, random);
  const request = createRequest({
    id: `crashing-request-${sent}`, kind: 'safe', entry: entry.name, overLink: false,
  }, random);
  return {
    entry,
    requests: [{ ...request, body: SOAK_NAMES.crashingBody }],
    pauseMilliseconds: SHORTEST_GAP_MILLISECONDS
      + (LONGEST_GAP_MILLISECONDS - SHORTEST_GAP_MILLISECONDS) * random.next(),
  };
}
