import type { EntryId, GrantsDocument, ServicePlacement } from '@dandelionlane/core';
import type VersionedPlacement from '../region/VersionedPlacement.js';
import type GrantAcknowledgement from './GrantAcknowledgement.js';

function inFlightOn(
  document: GrantsDocument,
  placement: ServicePlacement,
  replica: string,
): number {
  const service = document.services.find((each) => each.service === placement.service);
  return service?.replicas.find((each) => each.replica === replica)?.inFlight ?? 0;
}

/** Whether the entry follows this row or a later one. One that does not follow the service uses no share. */
function hasRead(document: GrantsDocument, { placement, version }: VersionedPlacement): boolean {
  const service = document.services.find((each) => each.service === placement.service);
  return service === undefined || service.version >= version;
}

/** What an entry's answer says of the replicas whose present rows it has read. */
export default function readAcknowledgements(
  entry: EntryId,
  document: GrantsDocument,
  placements: readonly VersionedPlacement[],
): readonly GrantAcknowledgement[] {
  return placements
    .filter((versioned) => hasRead(document, versioned))
    .flatMap(({ placement }) => placement.replicas.map(({ replica }) => ({
      entry, replica, inFlight: inFlightOn(document, placement, replica),
    })));
}
