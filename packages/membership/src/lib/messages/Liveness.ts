import { z } from 'zod';

/** What the failure detector holds of a member, weakest claim first. */
const Liveness = z.enum(['alive', 'suspect', 'dead']);
type Liveness = z.infer<typeof Liveness>;

export default Liveness;
