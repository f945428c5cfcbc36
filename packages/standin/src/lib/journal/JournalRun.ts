import { z } from 'zod';

/**
 * One run of a request at a target. A run begins when the target accepts the
 * request; a refusal makes none. `cancelled`: the caller went away. `failed`: the
 * target stopped while it ran.
 */
const JournalRun = z.object({
  requestId: z.string().nullable(),
  idempotencyKey: z.string().nullable(),
  team: z.string().nullable(),
  vm: z.string(),
  method: z.string(),
  path: z.string(),
  service: z.string(),
  replica: z.string(),
  startedAt: z.iso.datetime(),
  endedAt: z.iso.datetime().nullable(),
  outcome: z.enum(['running', 'finished', 'cancelled', 'failed']),
  incarnation: z.number().int(),
});
type JournalRun = z.infer<typeof JournalRun>;

export default JournalRun;
