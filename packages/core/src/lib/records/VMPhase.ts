import { z } from 'zod';

/**
 * What a VM does. `empty`: carries no load. `loading`: takes weights from the
 * store. `cold`: serves, but bears little. `warm`: serves in full. `stopping`:
 * runs what it has and takes no new work.
 */
const VMPhase = z.enum(['empty', 'loading', 'cold', 'warm', 'stopping']);
type VMPhase = z.infer<typeof VMPhase>;

export default VMPhase;
