import type { Dispatcher } from 'undici';
import { GrantsDocument, type EntryRecord } from '@dandelionlane/core';
import type EntryPollResult from './EntryPollResult.js';

const TIMEOUT_MILLISECONDS = 1_000;
const CONNECTION_REFUSED = 'ECONNREFUSED';

function isRefused(cause: unknown): boolean {
  return typeof cause === 'object' && cause !== null
    && (cause as { code?: unknown }).code === CONNECTION_REFUSED;
}

/** Polls an entry on its peer port for the placement rows that it has applied. Never rejects. */
export default async function pollEntry(
  dispatcher: Dispatcher,
  entry: EntryRecord,
): Promise<EntryPollResult> {
  try {
    const answer = await dispatcher.request({
      origin: `http://${entry.peerAddress}`,
      path: '/v1/grants',
      method: 'GET',
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    const parsed = GrantsDocument.safeParse(await answer.body.json());
    return parsed.success ? { kind: 'document', entry, document: parsed.data } : { kind: 'silent', entry };
  } catch (cause) {
    return isRefused(cause) ? { kind: 'gone', entry } : { kind: 'silent', entry };
  }
}
