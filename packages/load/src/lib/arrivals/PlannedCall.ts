import type { RequestId, ServiceId, TeamId } from '@dandelionlane/core';
import type PlannedChat from './PlannedChat.js';
import type PlannedKeyed from './PlannedKeyed.js';
import type PlannedPlain from './PlannedPlain.js';

/** One call of the load, planned before any answer is known. */
export default interface PlannedCall {
  readonly requestId: RequestId;
  readonly team: TeamId;
  readonly service: ServiceId;
  /** Intended start, from the start of the run. */
  readonly offsetMilliseconds: number;
  readonly content: PlannedChat | PlannedPlain | PlannedKeyed;
}
