import { z } from 'zod';
import { NetworkAddress } from '@dandelionlane/core';

/** Sent by an entry that does not hold the lease to an entry that has linked to it. */
const HolderRedirect = z.object({
  kind: z.literal('redirect'),
  /** Address on which the holder listens for links, as known to the sender. */
  address: NetworkAddress,
});
type HolderRedirect = z.infer<typeof HolderRedirect>;

export default HolderRedirect;
