import { EntryId, EntryRecord } from '@dandelionlane/core';
import { z } from 'zod';
import MemberUpdate from './MemberUpdate.js';
import ReleaseHead from './ReleaseHead.js';

const MAXIMUM_PIGGYBACKED_UPDATES = 64;
const MAXIMUM_EXCHANGED_UPDATES = 10_000;
const MAXIMUM_CONTACTS = 256;
const MAXIMUM_DIGESTS = 1_024;

const common = {
  /** The sender's claim about itself. */
  sender: MemberUpdate,
  head: ReleaseHead,
};

const piggyback = {
  ...common,
  /** Number of the probe, chosen by the prober. */
  probe: z.number().int().nonnegative(),
  updates: z.array(MemberUpdate).max(MAXIMUM_PIGGYBACKED_UPDATES),
  /** Digest of the sender's whole view; a receiver whose own digest differs starts an exchange. */
  viewDigest: z.number().int().nonnegative(),
};

/** Message between entries. Messages may be lost, repeated and reordered. */
const PeerMessage = z.discriminatedUnion('kind', [
  /** Probe; answered by an `ack` with the same probe number. */
  z.object({ kind: z.literal('ping'), ...piggyback }),
  /** Asks the receiver to probe `target` for the sender. */
  z.object({ kind: z.literal('ping-request'), ...piggyback, target: EntryRecord }),
  /** Reports that `subject` answered; `subject` is the sender unless the probe was indirect. */
  z.object({ kind: z.literal('ack'), ...piggyback, subject: EntryId }),
  /**
   * Anti-entropy. A request carries the digests of the buckets of the sender's view. The answer
   * carries updates for the buckets that differ, the completion for those that still differ.
   */
  z.object({
    kind: z.literal('exchange'),
    ...common,
    phase: z.enum(['request', 'answer', 'completion']),
    digests: z.array(z.number().int().nonnegative()).max(MAXIMUM_DIGESTS),
    updates: z.array(MemberUpdate).max(MAXIMUM_EXCHANGED_UPDATES),
    /** A few entries of other regions, or of the sender's region if the receiver is in another. */
    contacts: z.array(EntryRecord).max(MAXIMUM_CONTACTS),
  }),
  /** Announces the sender's release head outside of a probe. */
  z.object({
    kind: z.literal('release-head'),
    ...common,
    contacts: z.array(EntryRecord).max(MAXIMUM_CONTACTS),
  }),
]);
type PeerMessage = z.infer<typeof PeerMessage>;

export default PeerMessage;
