import { z } from 'zod';

/**
 * Serving phase of a VM. `empty`: hosts no replica. `loading`: fetches weights from the
 * store. `cold`: serves with little capacity. `warm`: serves with full capacity.
 * `stopping`: finishes its requests and accepts no new ones.
 */
const VMPhase = z.enum(['empty', 'loading', 'cold', 'warm', 'stopping']);
type VMPhase = z.infer<typeof VMPhase>;

export default VMPhase;
