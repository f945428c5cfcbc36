import type { EntryId, ServiceId } from '@dandelionlane/core';

/** Another live entry as a way to targets that this one cannot reach. */
export default interface PeerEntry {
  readonly entry: EntryId;
  readonly ready: boolean;
  /** Host and port that it takes requests of other entries at; null if it takes none. */
  readonly forwardAddress: string | null;
  /** Services no target of which it can reach. */
  readonly unreachable: readonly ServiceId[];
}
