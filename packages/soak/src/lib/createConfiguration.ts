import { ModelName, ServiceId, TeamId } from '@dandelionlane/core';
import type {
  EngineProfile, FleetConfiguration, RequestKind, Route,
} from '@dandelionlane/fleet';
import SOAK_NAMES from './SOAK_NAMES.js';

const PLAIN = ServiceId.parse('plain');
const MODEL = ServiceId.parse('model');

function createEngine(groupSize: number): EngineProfile {
  return {
    slots: 8,
    models: [{
      name: ModelName.parse(SOAK_NAMES.model), groupSize, pace: 1, workShare: 1,
    }],
    loadsPerSecond: 20,
    promptTokensPerSecond: 50_000,
    stepMilliseconds: 10,
    stepMillisecondsPerRequest: 0.1,
    stepsPerPass: 2,
    reportLagMilliseconds: 0,
  };
}

function createRoute(name: string, request: RequestKind, service: ServiceId, maximumAttempts: number): Route {
  return {
    name,
    host: SOAK_NAMES.host,
    prefix: `/${name}/`,
    request,
    timeoutMilliseconds: 4_000,
    targetLatencyMilliseconds: 300,
    priority: 1,
    maximumAttempts,
    services: [{ service, weight: 1 }],
    anonymous: false,
  };
}

/** The operators' configuration of a soak. */
export default function createConfiguration(version: number, groupSize: number): FleetConfiguration {
  const profile = { maximumConnections: 200, coldRequestsPerSecond: 0 };
  return {
    version,
    routes: [
      createRoute('safe', { kind: 'idempotent' }, PLAIN, 2),
      createRoute('once', { kind: 'non-idempotent' }, PLAIN, 1),
      createRoute('stream', { kind: 'stream', resumable: true, targetGapMilliseconds: 300 }, MODEL, 2),
    ],
    services: new Map([
      [PLAIN, { ...profile, id: PLAIN, engine: null }],
      [MODEL, { ...profile, id: MODEL, engine: createEngine(groupSize) }],
    ]),
    teams: [{ id: TeamId.parse(SOAK_NAMES.team), apiKeys: [SOAK_NAMES.apiKey], priority: null }],
    limits: {
      maximumBodyBytes: 100_000, headerTimeoutMilliseconds: 5_000, idleTimeoutMilliseconds: 10_000,
    },
  };
}
