import { z } from 'zod';

const milliseconds = z.number().nonnegative();

/**
 * Body of `POST /faults` of the platform stand-in. `unavailable`: table service and
 * object store answer 503. `slow`: each answer takes `milliseconds` longer.
 * `lose-answers`: a transaction takes effect and its connection is destroyed.
 * `stale-reads`: reads see the rows as they are now, whatever is written later.
 */
const PlatformFault = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('none') }),
  z.strictObject({ kind: z.literal('unavailable') }),
  z.strictObject({ kind: z.literal('slow'), milliseconds }),
  z.strictObject({ kind: z.literal('lose-answers') }),
  z.strictObject({ kind: z.literal('stale-reads') }),
]);
type PlatformFault = z.infer<typeof PlatformFault>;

export default PlatformFault;
