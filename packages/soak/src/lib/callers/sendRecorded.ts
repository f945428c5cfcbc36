import type { Agent } from 'undici';
import type SentRequest from '../journal/SentRequest.js';
import type SoakJournal from '../journal/SoakJournal.js';
import exchange from './exchange.js';

/** Sends a request to an address and records it with its outcome. */
export default async function sendRecorded(
  journal: SoakJournal,
  request: SentRequest,
  address: string,
  agent: Agent,
): Promise<void> {
  const sent = request;
  journal.requests.set(sent.id, sent);
  sent.outcome = await exchange(sent, address, agent);
}
