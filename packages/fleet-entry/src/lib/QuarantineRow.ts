import { z } from 'zod';
import { PromptPartId, WorkerId } from '@dandelionlane/core';

/** Row of a quarantined part of prompts; its key is the part. */
const QuarantineRow = z.object({
  part: PromptPartId,
  /** Workers that crashed under requests with the part. Times are Unix times in ms. */
  crashes: z.array(z.object({ id: WorkerId, bornAt: z.number().nullable(), crashedAt: z.number() })),
});
type QuarantineRow = z.infer<typeof QuarantineRow>;

export default QuarantineRow;
