import { z } from 'zod';
import EntryId from '../ids/EntryId.js';

/**
 * Share of a replica's concurrency that one entry may use. Invariant: the `cold` shares
 * of a replica's grants, plus withdrawn grants that may still be in use, never exceed the
 * service's cold limit. The `warm` shares of the grants in a row never exceed the warm limit
 * either, but a warm share is reassigned before its former holder has stopped using it.
 */
const Grant = z.object({
  entry: EntryId,
  cold: z.number().int().nonnegative(),
  warm: z.number().int().nonnegative(),
});
type Grant = z.infer<typeof Grant>;

export default Grant;
