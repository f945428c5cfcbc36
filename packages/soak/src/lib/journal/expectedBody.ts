import type SentRequest from './SentRequest.js';
import expectedEvent from './expectedEvent.js';

/** The whole body that answers a request, whichever worker runs it. */
export default function expectedBody({ id, kind, events }: Pick<SentRequest, 'id' | 'kind' | 'events'>): string {
  return kind === 'stream'
    ? Array.from({ length: events }, (_, index) => expectedEvent(id, index + 1)).join('')
    : `answer to ${id}`;
}
