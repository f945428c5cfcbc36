import { ModelName, ServiceId, TeamId } from '@dandelionlane/core';
import NAMES from './NAMES.js';

const PLAIN = ServiceId.parse('plain');
const MODEL = ServiceId.parse('model');

function createRoute(name, request, service, changes) {
  return {
    name,
    host: NAMES.host,
    prefix: `/${name}/`,
    request,
    services: [{ service, weight: 1 }],
    maximumAttempts: 2,
    timeoutMilliseconds: 8_000,
    targetLatencyMilliseconds: 400,
    priority: 1,
    anonymous: false,
    ...changes,
  };
}

/** A configuration with a route of each kind, a plain service and a model service with groups of two. */
export default function createConfiguration(version, routeChanges = {}) {
  const profile = { maximumConnections: 344, coldRequestsPerSecond: 0 };
  return {
    version,
    routes: [
      createRoute('safe', { kind: 'idempotent' }, PLAIN, routeChanges),
      createRoute('once', { kind: 'non-idempotent' }, PLAIN, { maximumAttempts: 1, ...routeChanges }),
      createRoute('stream', {
        kind: 'stream', resumable: true, targetGapMilliseconds: 250,
      }, MODEL, routeChanges),
    ],
    services: new Map([
      [PLAIN, { ...profile, id: PLAIN, engine: null }],
      [MODEL, {
        ...profile,
        id: MODEL,
        engine: {
          slots: 18,
          models: [{
            name: ModelName.parse(NAMES.model), groupSize: 2, pace: 1, workShare: 1,
          }],
          loadsPerSecond: 20,
          promptTokensPerSecond: 56_100,
          stepMilliseconds: 6.45,
          stepMillisecondsPerRequest: 0.1,
          stepsPerPass: 2,
          reportLagMilliseconds: 0,
        },
      }],
    ]),
    teams: [{ id: TeamId.parse(NAMES.team), apiKeys: [NAMES.apiKey], priority: null }],
    limits: {
      maximumBodyBytes: 4_194_304, headerTimeoutMilliseconds: 5_000, idleTimeoutMilliseconds: 15_000,
    },
  };
}
