import { z } from 'zod';
import { Epoch } from '@dandelionlane/core';
import MemberReference from './MemberReference.js';

/** Head of an earlier formation of a group. */
const FormerHead = z.object({
  epoch: Epoch,
  head: MemberReference,
  /** Whether that formation had lost a member, so that its running requests are stalled. */
  stalled: z.boolean(),
});
type FormerHead = z.infer<typeof FormerHead>;

export default FormerHead;
