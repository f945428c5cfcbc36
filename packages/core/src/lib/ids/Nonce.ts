import { z } from 'zod';

/** Random text that uniquely identifies the writer of a row. */
const Nonce = z.string().regex(/^[A-Za-z0-9_-]{8,64}$/).brand<'Nonce'>();
type Nonce = z.infer<typeof Nonce>;

export default Nonce;
