import type { ServiceId } from '@dandelionlane/core';
import type EngineProfile from './EngineProfile.js';

/** Configuration of one service. */
export default interface ServiceProfile {
  readonly id: ServiceId;
  /** Maximum connections that one worker accepts in total. */
  readonly maximumConnections: number;
  /** Maximum requests per second of a worker in cold start; 0 when its workers have no cold start. */
  readonly coldRequestsPerSecond: number;
  /** Null for plain services. */
  readonly engine: EngineProfile | null;
}
