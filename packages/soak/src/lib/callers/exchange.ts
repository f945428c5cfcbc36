import { request, type Agent } from 'undici';
import { encodeRequestHeaders } from '@dandelionlane/platform-adapter';
import SOAK_NAMES from '../SOAK_NAMES.js';
import type CallerOutcome from '../journal/CallerOutcome.js';
import type SentRequest from '../journal/SentRequest.js';
import MAXIMUM_EVENTS from './MAXIMUM_EVENTS.js';
import readAnswer from './readAnswer.js';

/** Time beyond the deadline after which a caller leaves, in ms. */
const PATIENCE_MILLISECONDS = 2_000;

const PROMPT_TOKENS = 100;

/** Code of undici for a connection whose other side was closed with nothing unread. */
const CLOSED_CODE = 'UND_ERR_SOCKET';

/** Sends a request to `host:port` and reads its answer. */
export default async function exchange(
  sent: Readonly<SentRequest>,
  address: string,
  agent: Agent,
): Promise<CallerOutcome> {
  const leaving = AbortSignal.timeout(sent.deadlineMilliseconds + PATIENCE_MILLISECONDS);
  let code = '';
  const answer = await request(`http://${address}/${sent.kind}/run`, {
    dispatcher: agent,
    method: 'POST',
    signal: leaving,
    body: sent.body,
    headers: {
      host: SOAK_NAMES.host,
      ...encodeRequestHeaders({
        requestId: sent.id,
        deadlineMilliseconds: sent.deadlineMilliseconds,
        apiKey: SOAK_NAMES.apiKey,
        generation: sent.kind === 'stream' ? {
          model: SOAK_NAMES.model, promptTokens: PROMPT_TOKENS, maximumOutputTokens: MAXIMUM_EVENTS,
        } : null,
      }),
    },
  }).catch((error: unknown) => {
    code = String((error as NodeJS.ErrnoException).code);
    return null;
  });
  const read = answer === null ? null : await readAnswer(answer);
  const endedAt = performance.now();
  if (leaving.aborted) {
    return { kind: 'left', endedAt };
  }
  // A link hides how the entry closed its side.
  return read === null
    ? { kind: 'disconnected', read: !sent.overLink && code === CLOSED_CODE, endedAt }
    : { kind: 'answered', ...read, endedAt };
}
