import { z } from 'zod';

/** Scheduling class of a service. Interactive requests take precedence over batch requests. */
const Priority = z.enum(['interactive', 'batch']);
type Priority = z.infer<typeof Priority>;

export default Priority;
