import { z } from 'zod';

/** Key by which a caller marks repeated sends of one call, 1 to 255 visible characters. */
const IdempotencyKey = z.string().regex(/^[\x21-\x7e]{1,255}$/).brand<'IdempotencyKey'>();
type IdempotencyKey = z.infer<typeof IdempotencyKey>;

export default IdempotencyKey;
