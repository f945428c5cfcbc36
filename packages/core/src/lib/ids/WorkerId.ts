import { z } from 'zod';

const MAXIMUM_LENGTH = 200;

/** Identifier under which a worker process registers itself. */
const WorkerId = z.string().min(1).max(MAXIMUM_LENGTH).brand<'WorkerId'>();
type WorkerId = z.infer<typeof WorkerId>;

export default WorkerId;
