import { FabricDomainId, VMReport } from '@dandelionlane/core';
import { z } from 'zod';

/** A VM's report with what only the members of its replica look at. */
const MemberReport = VMReport.extend({
  /** Whether the weights of the load that it carries are there. */
  weightsLoaded: z.boolean(),
  fabricDomain: FabricDomainId,
});
type MemberReport = z.infer<typeof MemberReport>;

export default MemberReport;
