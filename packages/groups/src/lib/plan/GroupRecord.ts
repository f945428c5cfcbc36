import { z } from 'zod';
import {
  Epoch, GroupName, ModelName, ServiceId,
} from '@dandelionlane/core';
import FormerHead from './FormerHead.js';
import MemberReference from './MemberReference.js';

/**
 * Row of a group. It is written before the first order of a formation, so that the next holder of the
 * lease can continue from it. An epoch permanently identifies one list of members.
 */
const GroupRecord = z.object({
  name: GroupName,
  service: ServiceId,
  model: ModelName,
  epoch: Epoch,
  /** The first is the head. */
  members: z.array(MemberReference).min(1),
  /** Newest first. */
  formerHeads: z.array(FormerHead),
});
type GroupRecord = z.infer<typeof GroupRecord>;

export default GroupRecord;
