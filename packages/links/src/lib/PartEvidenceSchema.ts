import { z } from 'zod';
import { PromptPartId } from '@dandelionlane/core';
import WorkerInstanceSchema from './WorkerInstanceSchema.js';

/** What an entry has observed of a part of prompts that is suspected to crash workers. */
const PartEvidenceSchema = z.object({
  part: PromptPartId,
  /** Workers that crashed under requests with the part, and the time since, in ms. */
  crashes: z.array(WorkerInstanceSchema.extend({ ageMilliseconds: z.number() })).readonly(),
  /** Time since a request with the part was served, in ms; null if it was not. */
  servedAgeMilliseconds: z.number().nullable(),
});

export default PartEvidenceSchema;
