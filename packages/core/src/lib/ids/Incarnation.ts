import { z } from 'zod';

/** Number of a process start; increases with every restart of a VM or entry. */
const Incarnation = z.number().int().nonnegative().brand<'Incarnation'>();
type Incarnation = z.infer<typeof Incarnation>;

export default Incarnation;
