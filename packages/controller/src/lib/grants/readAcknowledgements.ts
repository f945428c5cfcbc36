import type { EntryId, GrantsDocument, ServicePlacement } from '@dandelionlane/core';
import type VersionedPlacement from '../region/VersionedPlacement.js';
import type GrantAcknowledgement from './GrantAcknowledgement.js';

function countInFlight(
  document: GrantsDocument,
  placement: ServicePlacement,
  replica: string,
): number {
  const service = document.services.find((each) => each.service === placement.service);
  return service?.replicas.find((each) => each.replica === replica)?.inFlight ?? 0;
}

/** Whether the entry has applied this row or a later one. One without the service uses no share of it. */
function hasRead(document: GrantsDocument, { placement, version }: VersionedPlacement): boolean {
  const service = document.services.find((each) => each.service === placement.service);
  return service === undefined || service.version >= version;
}

/** Derives acknowledgements from an entry's grants, for the replicas whose current rows it has read. */
export default function readAcknowledgements(
  entry: EntryId,
  document: GrantsDocument,
  placements: readonly VersionedPlacement[],
): readonly GrantAcknowledgement[] {
  return placements
    .filter((versioned) => hasRead(document, versioned))
    .flatMap(({ placement }) => placement.replicas.map(({ replica }) => ({
      entry, replica, inFlight: countInFlight(document, placement, replica),
    })));
}
