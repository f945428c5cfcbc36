import { z } from 'zod';

/** Matches calls of a plain service by method and path prefix. */
const CallPattern = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  pathPrefix: z.string().startsWith('/').max(512),
});
type CallPattern = z.infer<typeof CallPattern>;

export default CallPattern;
