import { z } from 'zod';
import { AvailabilityZoneId, FabricDomainId, WorkerId } from '@dandelionlane/core';

/** One life of a worker, with where it can be reached although its registration may be gone. */
const MemberReference = z.object({
  id: WorkerId,
  /** Unix time of its start in ms; null where workers do not tell it. */
  bornAt: z.number().nullable(),
  address: z.string(),
  zone: AvailabilityZoneId,
  domain: FabricDomainId.nullable(),
});
type MemberReference = z.infer<typeof MemberReference>;

export default MemberReference;
