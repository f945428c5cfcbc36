import { z } from 'zod';

/** Key with which a caller identifies retries of the same call, 1 to 255 visible ASCII characters. */
const IdempotencyKey = z.string().regex(/^[\x21-\x7e]{1,255}$/).brand<'IdempotencyKey'>();
type IdempotencyKey = z.infer<typeof IdempotencyKey>;

export default IdempotencyKey;
