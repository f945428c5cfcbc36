import { z } from 'zod';
import JournalRun from './JournalRun.js';

/** Answer of `GET /journal`: what ran at a target, over all of its incarnations. */
const JournalDocument = z.object({
  runs: z.array(JournalRun),
  /** Most requests that began in cold start and ran there at one time, on any one VM. */
  maximumRunningWhileCold: z.number().int(),
  /** How often a target in cold start got more than it can bear and crashed. */
  fellOver: z.number().int(),
});
type JournalDocument = z.infer<typeof JournalDocument>;

export default JournalDocument;
