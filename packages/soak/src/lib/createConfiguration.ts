import { ModelName, ServiceId, TeamId } from '@dandelionlane/core';
import type {
  EngineProfile, FleetConfiguration, Route,
} from '@dandelionlane/fleet';
import SOAK_NAMES from './SOAK_NAMES.js';

const PLAIN = ServiceId.parse('plain');
const MODEL = ServiceId.parse('model');
const SPARE = ServiceId.parse('spare');

/** Values that versions take in turn, first that of version 1. No timeout is below the callers' deadlines. */
const IDLE_MILLISECONDS = [10_000, 3_000, 20_000];
const PLAIN_MILLISECONDS = [4_000, 1_600, 2_500];
const STREAM_MILLISECONDS = [4_000, 6_000, 4_500];
const PLAIN_SERVICES: readonly Route['services'][] = [
  [{ service: PLAIN, weight: 1 }],
  [{ service: SPARE, weight: 1 }],
  [{ service: PLAIN, weight: 1 }, { service: SPARE, weight: 3 }],
  [{ service: PLAIN, weight: 3 }, { service: SPARE, weight: 1 }],
];

/** What a version changes: idle time, timeouts and services of routes, one of them after the other. */
const CHANGES = ['idle', 'timeout', 'route'] as const;

/** Takes the value that a version has, where each third version changes it. */
function valueAt<Value>(values: readonly Value[], change: typeof CHANGES[number], version: number): Value {
  const changes = Math.floor((version + CHANGES.length - 2 - CHANGES.indexOf(change)) / CHANGES.length);
  const value = values[changes % values.length];
  if (value === undefined) {
    throw new Error(`there is no value for ${change}`);
  }
  return value;
}

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

function createRoute(route: Pick<
  Route, 'name' | 'request' | 'services' | 'maximumAttempts' | 'timeoutMilliseconds'
>): Route {
  return {
    host: SOAK_NAMES.host,
    prefix: `/${route.name}/`,
    targetLatencyMilliseconds: 300,
    priority: 1,
    anonymous: false,
    ...route,
  };
}

/** A version of the operators' configuration of a soak. All versions allow all requests of its callers. */
export default function createConfiguration(version: number, groupSize: number): FleetConfiguration {
  const plain = {
    services: valueAt(PLAIN_SERVICES, 'route', version),
    timeoutMilliseconds: valueAt(PLAIN_MILLISECONDS, 'timeout', version),
  };
  const profile = { maximumConnections: 200, coldRequestsPerSecond: 0 };
  return {
    version,
    routes: [
      createRoute({
        ...plain, name: 'safe', request: { kind: 'idempotent' }, maximumAttempts: 2,
      }),
      createRoute({
        ...plain, name: 'once', request: { kind: 'non-idempotent' }, maximumAttempts: 1,
      }),
      createRoute({
        name: 'stream',
        request: { kind: 'stream', resumable: true, targetGapMilliseconds: 300 },
        services: [{ service: MODEL, weight: 1 }],
        timeoutMilliseconds: valueAt(STREAM_MILLISECONDS, 'timeout', version),
        maximumAttempts: 2,
      }),
    ],
    services: new Map([
      [PLAIN, { ...profile, id: PLAIN, engine: null }],
      [SPARE, { ...profile, id: SPARE, engine: null }],
      [MODEL, { ...profile, id: MODEL, engine: createEngine(groupSize) }],
    ]),
    teams: [{ id: TeamId.parse(SOAK_NAMES.team), apiKeys: [SOAK_NAMES.apiKey], priority: null }],
    limits: {
      maximumBodyBytes: 100_000,
      headerTimeoutMilliseconds: 5_000,
      idleTimeoutMilliseconds: valueAt(IDLE_MILLISECONDS, 'idle', version),
    },
  };
}
