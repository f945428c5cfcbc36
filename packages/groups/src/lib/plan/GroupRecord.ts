import { z } from 'zod';
import {
  Epoch, GroupName, ModelName, ServiceId,
} from '@dandelionlane/core';
import FormerHead from './FormerHead.js';
import MemberReference from './MemberReference.js';

/**
 * Row of a group. Written before the first order of a formation, so that whoever holds the
 * lease next goes on from it. An epoch belongs to one list of members for ever.
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
