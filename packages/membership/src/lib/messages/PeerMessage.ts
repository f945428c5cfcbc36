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
  /** Digest of the sender's whole view; a difference calls for an exchange. */
  viewDigest: z.number().int().nonnegative(),
};

/** Message between entries. Delivery may lose, repeat and reorder messages. */
const PeerMessage = z.discriminatedUnion('kind', [
  /** Probe; answered by an `ack` with the same probe number. */
  z.object({ kind: z.literal('ping'), ...piggyback }),
  /** Asks the receiver to probe `target` for the sender. */
  z.object({ kind: z.literal('ping-request'), ...piggyback, target: EntryRecord }),
  /** `subject` answered; it is the sender itself unless the probe was indirect. */
  z.object({ kind: z.literal('ack'), ...piggyback, subject: EntryId }),
  /**
   * Anti-entropy. A request carries digests of the parts of the sender's view; the answer
   * has the updates of the parts that differ, and the completion those that still do.
   */
  z.object({
    kind: z.literal('exchange'),
    ...common,
    phase: z.enum(['request', 'answer', 'completion']),
    digests: z.array(z.number().int().nonnegative()).max(MAXIMUM_DIGESTS),
    updates: z.array(MemberUpdate).max(MAXIMUM_EXCHANGED_UPDATES),
    /** A few entries of other regions; towards another region, a few of the sender's own. */
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
