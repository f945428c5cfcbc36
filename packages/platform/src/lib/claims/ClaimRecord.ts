import { z } from 'zod';
import { EntryId, Nonce } from '@dandelionlane/core';
import StoredAnswer from './StoredAnswer.js';

/**
 * Row of one call that runs at most once. `claimed`: the holder may send the call.
 * `released`: the holder released the claim before it sent a byte, so the call may be
 * claimed again. `completed`: the answer is stored for later calls with the same key.
 */
const ClaimRecord = z.object({
  nonce: Nonce,
  state: z.enum(['claimed', 'released', 'completed']),
  /** Hash of method, path and body; a different request with the same key is refused. */
  fingerprint: z.string(),
  entry: EntryId,
  claimedAt: z.iso.datetime(),
  answer: StoredAnswer.nullable(),
});
type ClaimRecord = z.infer<typeof ClaimRecord>;

export default ClaimRecord;
