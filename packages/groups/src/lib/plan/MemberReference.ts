import { z } from 'zod';
import {
  AvailabilityZoneId, FabricDomainId, NetworkAddress, WorkerId,
} from '@dandelionlane/core';

/** Reference to an instance of a worker, with the address to reach it when its registration is missing. */
const MemberReference = z.object({
  id: WorkerId,
  /** Unix time of its start, in ms; null where workers do not report it. */
  bornAt: z.number().nullable(),
  address: NetworkAddress,
  zone: AvailabilityZoneId,
  domain: FabricDomainId.nullable(),
});
type MemberReference = z.infer<typeof MemberReference>;

export default MemberReference;
