import { expect, test } from 'vitest';
import { ModelName, ServiceId } from '@dandelionlane/core';
import {
  stallThresholdMilliseconds, type EngineProfile, type ServiceProfile, type WorkerEntry,
} from '@dandelionlane/fleet';
import estimateStallThreshold from '../lib/estimateStallThreshold.js';

const MODEL = ModelName.parse('m');
const SLOW_MODEL = ModelName.parse('slow');
const PLAIN = ServiceId.parse('plain');
const FAST = ServiceId.parse('fast');
const SLOW = ServiceId.parse('slow');
const UNREAD_TOKENS = 100;

function createEngine(stepMilliseconds: number): EngineProfile {
  return {
    slots: 4,
    models: [MODEL, SLOW_MODEL].map((name) => ({
      name, groupSize: 1, pace: name === SLOW_MODEL ? 3 : 1, workShare: 1,
    })),
    loadsPerSecond: 1,
    promptTokensPerSecond: 1_000,
    stepMilliseconds,
    stepMillisecondsPerRequest: 0,
    stepsPerPass: 1,
    reportLagMilliseconds: 0,
  };
}

const ENGINES = new Map([[FAST, createEngine(1)], [SLOW, createEngine(50)]]);

const SERVICES: ReadonlyMap<ServiceId, ServiceProfile> = new Map([PLAIN, FAST, SLOW].map((id) => [id, {
  id, maximumConnections: 1, coldRequestsPerSecond: 0, engine: ENGINES.get(id) ?? null,
}]));

function estimate(service: ServiceId | null, services = SERVICES): number {
  const worker = { worker: { service }, models: [MODEL] } as unknown as WorkerEntry;
  const known = service === null ? undefined : worker;
  return estimateStallThreshold(known, services, UNREAD_TOKENS);
}

function thresholdOf(engine: EngineProfile | undefined, model: ModelName): number {
  return stallThresholdMilliseconds(engine as EngineProfile, model, UNREAD_TOKENS);
}

test('the threshold of a worker is that of its service', () => {
  expect(estimate(FAST)).toBe(thresholdOf(ENGINES.get(FAST), MODEL));
});

// Guards against streams that are never moved away since their worker or its service was removed.
test('the threshold of a removed worker is the longest of all services', () => {
  expect(estimate(null)).toBe(thresholdOf(ENGINES.get(SLOW), SLOW_MODEL));
});

test('the threshold of a worker whose service was removed is the longest of the others', () => {
  expect(estimate(ServiceId.parse('removed'))).toBe(thresholdOf(ENGINES.get(SLOW), SLOW_MODEL));
});

test('workers without streams do not stall', () => {
  expect(estimate(PLAIN)).toBe(Number.POSITIVE_INFINITY);
  expect(estimate(null, new Map())).toBe(Number.POSITIVE_INFINITY);
  expect(estimateStallThreshold(undefined, undefined, UNREAD_TOKENS)).toBe(Number.POSITIVE_INFINITY);
});
