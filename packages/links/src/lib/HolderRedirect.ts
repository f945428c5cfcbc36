import { z } from 'zod';

/** Answer of an entry that does not hold the lease to one that has linked to it. */
const HolderRedirect = z.object({
  kind: z.literal('redirect'),
  /** Where the holder listens for links, as far as the entry knows. */
  address: z.string(),
});
type HolderRedirect = z.infer<typeof HolderRedirect>;

export default HolderRedirect;
