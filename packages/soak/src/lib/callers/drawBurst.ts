import type { RandomSource } from '@dandelionlane/core';
import type SoakEntry from '../entries/SoakEntry.js';
import pick from '../faults/pick.js';
import type RequestBatch from './RequestBatch.js';
import createRequest from './createRequest.js';

/** Requests that are sent at once. */
const BURST = 60;

/** Time between two bursts, in ms. */
const PERIOD_MILLISECONDS = 2_000;

/** Draws many requests at one entry: what their answers hold adds up there. */
export default function drawBurst(
  entries: readonly SoakEntry[],
  sent: number,
  random: RandomSource,
): RequestBatch {
  const entry = pick(entries, random);
  return {
    entry,
    requests: Array.from({ length: BURST }, (_, index) => createRequest({
      id: `burst-${sent + index}`, kind: 'safe', entry: entry.name, overLink: false,
    }, random)),
    pauseMilliseconds: PERIOD_MILLISECONDS,
  };
}
