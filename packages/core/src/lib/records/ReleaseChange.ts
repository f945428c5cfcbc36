import { z } from 'zod';
import OutOfService from './OutOfService.js';
import ReleaseNote from './ReleaseNote.js';

/** One accepted change of the release log. */
const ReleaseChange = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('note'), note: ReleaseNote }),
  z.strictObject({ kind: z.literal('take-out'), subject: OutOfService }),
  z.strictObject({ kind: z.literal('bring-back'), subject: OutOfService }),
]);
type ReleaseChange = z.infer<typeof ReleaseChange>;

export default ReleaseChange;
