import { z } from 'zod';

/** What one reader process saw. A delay is from a token's send at the target to its arrival. */
const ReaderSummary = z.object({
  tokens: z.number(),
  streams: z.number(),
  failures: z.number(),
  seconds: z.number(),
  delayP50Milliseconds: z.number(),
  delayP95Milliseconds: z.number(),
  delayP99Milliseconds: z.number(),
  firstTokenP50Milliseconds: z.number(),
  firstTokenP95Milliseconds: z.number(),
  firstTokenP99Milliseconds: z.number(),
});
type ReaderSummary = z.infer<typeof ReaderSummary>;

export default ReaderSummary;
