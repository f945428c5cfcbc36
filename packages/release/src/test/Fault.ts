import { z } from 'zod';

/**
 * What one call to a `FaultyStore` meets. `stale`: a read that misses the last transaction.
 * `lost-before` and `lost-after`: the answer is lost and the write took no effect or took
 * effect. `late`: the answer is lost and the write arrives just before the next one.
 */
const Fault = z.enum(['none', 'unavailable', 'stale', 'lost-before', 'lost-after', 'late']);
type Fault = z.infer<typeof Fault>;

export default Fault;
