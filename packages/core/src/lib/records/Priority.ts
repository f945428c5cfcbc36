import { z } from 'zod';

/** Class of service. Interactive work goes before batch work. */
const Priority = z.enum(['interactive', 'batch']);
type Priority = z.infer<typeof Priority>;

export default Priority;
