import type { EntryId, ServiceId } from '@dandelionlane/core';

/** A live entry. */
export default interface LiveEntry {
  readonly entry: EntryId;
  /** Whether callers may be directed to it. */
  readonly ready: boolean;
  /** Host and port that callers connect to. */
  readonly callerAddress: string;
  /** Processor time that it may use, in cores; null if unknown. */
  readonly processorCores: number | null;
  /** Requests a second that it can take; null if unknown. */
  readonly capacity: number | null;
  /** Host and port that it takes requests of other entries at; null if it takes none. */
  readonly forwardAddress: string | null;
  /** Services no target of which it can reach. */
  readonly unreachable: readonly ServiceId[];
}
