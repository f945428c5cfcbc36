import { z } from 'zod';

/** Position of an accepted change in the release log. 0 is the empty log. */
const ReleaseSequence = z.number().int().nonnegative().brand<'ReleaseSequence'>();
type ReleaseSequence = z.infer<typeof ReleaseSequence>;

export default ReleaseSequence;
