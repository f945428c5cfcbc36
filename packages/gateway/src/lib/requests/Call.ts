import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { PromptPartId, ServiceId } from '@dandelionlane/core';
import type { Route, ServiceProfile, Team } from '@dandelionlane/fleet';
import type CallMetadata from '../wire/CallMetadata.js';
import type CallLog from './CallLog.js';
import type RequestOrigin from './RequestOrigin.js';

/** A request that has been identified and admitted to its route. */
export default interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly metadata: CallMetadata;
  readonly origin: RequestOrigin;
  /** Executions that count as used before it came here from another entry. */
  readonly earlierExecutions: number;
  /** Whether a target may have run it before it came here from another entry. */
  readonly mayHaveRun: boolean;
  readonly body: Buffer;
  /** What may crash the targets that run it: the shared parts of its prompt, and the request as a whole. */
  readonly suspects: readonly PromptPartId[];
  readonly route: Route;
  readonly service: ServiceId;
  readonly profile: ServiceProfile;
  readonly team: Team | null;
  /** Monotonic time at which its head had been read, in ms. */
  readonly receivedAt: number;
  /** Monotonic time until which its answer, or the first event of it, is on time, in ms. */
  readonly onTimeUntil: number;
  /** Monotonic time by which it must have its final answer, in ms. */
  readonly deadlineAt: number;
  readonly outgoing: ServerResponse;
  readonly log: CallLog;
}
