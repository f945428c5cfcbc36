import { z } from 'zod';
import ErrorKind from './ErrorKind.js';
import Outcome from './Outcome.js';

/** Problem document (RFC 9457) of a rejected or failed request. */
const Problem = z.object({
  type: z.string(),
  title: z.string(),
  status: z.number().int(),
  detail: z.string(),
  kind: ErrorKind,
  outcome: Outcome,
  retryAfterSeconds: z.number().nonnegative().optional(),
  requestId: z.string().optional(),
});
type Problem = z.infer<typeof Problem>;

export default Problem;
