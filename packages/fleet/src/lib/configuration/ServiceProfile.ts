import type { ServiceId } from '@dandelionlane/core';
import type EngineProfile from './EngineProfile.js';

/** One service of the configuration. */
export default interface ServiceProfile {
  readonly id: ServiceId;
  /** Connections that one worker accepts from all callers together. */
  readonly maximumConnections: number;
  /** Requests that a worker in cold start bears a second; 0 when its workers have no cold start. */
  readonly coldRequestsPerSecond: number;
  /** Absent for plain services. */
  readonly engine: EngineProfile | null;
}
