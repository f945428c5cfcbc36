import { z } from 'zod';

/** Fencing token: increases with every acquisition of a lease; an order with a smaller number is stale. */
const FencingNumber = z.number().int().nonnegative().brand<'FencingNumber'>();
type FencingNumber = z.infer<typeof FencingNumber>;

export default FencingNumber;
