import { z } from 'zod';
import ReleaseSequence from '../ids/ReleaseSequence.js';

/** Answer (201) to an accepted change. A refusal is a `Problem`. */
const ChangeAccepted = z.object({ sequence: ReleaseSequence });
type ChangeAccepted = z.infer<typeof ChangeAccepted>;

export default ChangeAccepted;
