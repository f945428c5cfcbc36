import type { FabricDomainId } from '@dandelionlane/core';

/** Workers in each domain, in groups or free. */
type DomainSizes = ReadonlyMap<FabricDomainId | null, number>;

export default DomainSizes;
