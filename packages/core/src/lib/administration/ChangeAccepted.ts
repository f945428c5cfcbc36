import { z } from 'zod';
import ReleaseSequence from '../ids/ReleaseSequence.js';

/** Response body (201) for an accepted change. A rejected change gets a `Problem`. */
const ChangeAccepted = z.object({ sequence: ReleaseSequence });
type ChangeAccepted = z.infer<typeof ChangeAccepted>;

export default ChangeAccepted;
