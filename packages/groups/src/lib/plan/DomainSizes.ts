import type { FabricDomainId } from '@dandelionlane/core';

/** Number of workers in each domain, in groups or free. */
type DomainSizes = ReadonlyMap<FabricDomainId | null, number>;

export default DomainSizes;
