import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of a fabric domain, the set of VMs that share a fast interconnect. */
const FabricDomainId = z.string().regex(IDENTIFIER_PATTERN).brand<'FabricDomainId'>();
type FabricDomainId = z.infer<typeof FabricDomainId>;

export default FabricDomainId;
