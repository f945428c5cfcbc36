import { parseWith, ServingError } from '@dandelionlane/core';
import { JournalDocument, mergeJournals } from '@dandelionlane/standin';
import { ResultAsync } from 'neverthrow';
import { request, type Dispatcher } from 'undici';

const TIMEOUT_MILLISECONDS = 10_000;

async function fetchDocument(address: string, dispatcher: Dispatcher): Promise<unknown> {
  const answer = await request(`http://${address}/journal`, {
    dispatcher, signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
  });
  return answer.body.json();
}

function fetchJournal(address: string, dispatcher: Dispatcher): ResultAsync<JournalDocument, ServingError> {
  return ResultAsync.fromPromise(
    fetchDocument(address, dispatcher),
    (cause) => new ServingError(`journal at ${address} cannot be read`, { kind: 'target-lost', cause }),
  ).andThen((body) => parseWith(JournalDocument, body, 'message-invalid'));
}

/** Reads the journals at the addresses. Errors: `target-lost`, `message-invalid`. */
export default function fetchJournals(
  addresses: readonly string[],
  dispatcher: Dispatcher,
): ResultAsync<JournalDocument, ServingError> {
  return ResultAsync.combine(addresses.map((address) => fetchJournal(address, dispatcher)))
    .map(mergeJournals);
}
