import { z } from 'zod';

/** Number of a formation of a group; increases with every change of its members. */
const Epoch = z.number().int().nonnegative().brand<'Epoch'>();
type Epoch = z.infer<typeof Epoch>;

export default Epoch;
