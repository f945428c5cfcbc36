import { z } from 'zod';

/** Answer stored with a claim. A body over the size limit is not stored: `bodyBase64` is null. */
const StoredAnswer = z.object({
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string().nullable(),
});
type StoredAnswer = z.infer<typeof StoredAnswer>;

export default StoredAnswer;
