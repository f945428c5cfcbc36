import type SoakEntry from '../entries/SoakEntry.js';
import type SentRequest from '../journal/SentRequest.js';

/** Requests that are sent at once to one entry, with the pause after them. */
export default interface RequestBatch {
  readonly entry: SoakEntry;
  readonly requests: readonly SentRequest[];
  readonly pauseMilliseconds: number;
}
