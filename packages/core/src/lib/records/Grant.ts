import { z } from 'zod';
import EntryId from '../ids/EntryId.js';

/**
 * Share of a replica's concurrency that one entry may use. Invariant: over the
 * grants of a replica, and those withdrawn that may still be in use, `cold` adds
 * up to at most the service's cold limit. The grants in a row hold `warm` to the warm
 * limit in the same way, but a warm share moves before its former holder is done.
 */
const Grant = z.object({
  entry: EntryId,
  cold: z.number().int().nonnegative(),
  warm: z.number().int().nonnegative(),
});
type Grant = z.infer<typeof Grant>;

export default Grant;
