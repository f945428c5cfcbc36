import { z } from 'zod';

/** Verdict of the failure detector about a member, in order of precedence, lowest first. */
const Liveness = z.enum(['alive', 'suspect', 'dead']);
type Liveness = z.infer<typeof Liveness>;

export default Liveness;
