import { z } from 'zod';

/**
 * Fault injected into one call to a `FaultyStore`. `stale`: the read misses the last
 * transaction. `lost-before`: the response is lost and the write has no effect. `lost-after`:
 * the response is lost after the write took effect. `late`: the response is lost and the write
 * takes effect just before the next one.
 */
const Fault = z.enum(['none', 'unavailable', 'stale', 'lost-before', 'lost-after', 'late']);
type Fault = z.infer<typeof Fault>;

export default Fault;
