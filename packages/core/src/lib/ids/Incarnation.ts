import { z } from 'zod';

/** Number of a process start; a restarted VM or entry reports a larger one. */
const Incarnation = z.number().int().nonnegative().brand<'Incarnation'>();
type Incarnation = z.infer<typeof Incarnation>;

export default Incarnation;
