import { okAsync } from 'neverthrow';
import {
  afterEach, expect, test, vi,
} from 'vitest';
import {
  FabricDomainId, FencingNumber, ManualClock, MemoryTableStore, ModelName, RowVersion, type WorkerId,
} from '@dandelionlane/core';
import { ConfigurationHolder, WorkerTable, type WorkerPort } from '@dandelionlane/fleet';
import { GroupWorker } from '@dandelionlane/standin';
import GroupController from '../lib/control/GroupController.js';

const DOMAINS = 25;
const DOMAIN_SIZE = 35;

/** Period of the control loop, in ms. */
const PERIOD_MILLISECONDS = 40;

/** Calls to workers that one round may begin and still leave the process time for its links. */
const CALLS_PER_ROUND = 60;

const LOG = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};
const METRICS = {
  count: () => undefined, gauge: () => undefined, timing: () => undefined, close: () => Promise.resolve(),
};

afterEach(() => {
  vi.useRealTimers();
});

function configure(): ConfigurationHolder {
  const configuration = new ConfigurationHolder();
  const { service } = new GroupWorker('any', 1).worker();
  configuration.accept({
    version: 1,
    routes: [],
    teams: [],
    limits: {
      maximumHeadBytes: 1, maximumBodyBytes: 1, headMilliseconds: 1, idleMilliseconds: 1,
    },
    services: new Map([[service, {
      id: service,
      maximumConnections: 10,
      coldRequestsPerSecond: 0,
      engine: {
        slots: 9,
        models: [
          {
            name: ModelName.parse('large'), groupSize: 16, pace: 1, workShare: 0.5,
          },
          {
            name: ModelName.parse('small'), groupSize: 4, pace: 0.6, workShare: 0.5,
          },
        ],
        loadsPerSecond: 100,
        promptTokensPerSecond: 1,
        stepMilliseconds: 1,
        stepMillisecondsPerRequest: 0,
        stepsPerPass: 1,
        reportLagMilliseconds: 0,
      },
    }]]),
  } as unknown as Parameters<ConfigurationHolder['accept']>[0]);
  return configuration;
}

test('groups of 875 new workers form without a burst of calls', async () => {
  vi.useFakeTimers();
  const clock = new ManualClock(50_000);
  const workers = new WorkerTable(clock);
  const fleet = new Map<WorkerId, GroupWorker>();
  for (let index = 0; index < DOMAINS * DOMAIN_SIZE; index += 1) {
    const worker = new GroupWorker(`w${index}`, 1);
    fleet.set(worker.id, worker);
    const domain = FabricDomainId.parse(`d${index % DOMAINS}`);
    workers.put({ ...worker.worker(), domain, address: `127.0.0.1:${index + 1}` });
  }
  let calls = 0;
  const port: WorkerPort = {
    report: ({ id, domain }) => {
      calls += 1;
      fleet.get(id)?.settle();
      return okAsync({ ...fleet.get(id)!.report(), domain });
    },
    order: ({ id }, order, stamp) => {
      calls += 1;
      return okAsync(fleet.get(id)!.take(order, stamp));
    },
  };
  const lease = {
    fencing: FencingNumber.parse(1),
    version: RowVersion.parse(1),
    actUntilMilliseconds: Number.POSITIVE_INFINITY,
  };
  const controller = new GroupController({
    store: new MemoryTableStore(),
    port,
    workers,
    configuration: configure(),
    lease: () => lease,
    isLeaseHeld: () => true,
    isStoreInTouch: () => true,
    resign: () => undefined,
    clock,
    log: LOG,
    metrics: METRICS,
    isBootstrapping: () => true,
  });
  controller.start();
  let mostCalls = 0;
  for (let round = 0; round < 400; round += 1) {
    calls = 0;
    clock.advance(PERIOD_MILLISECONDS);
    await vi.advanceTimersByTimeAsync(PERIOD_MILLISECONDS);
    mostCalls = Math.max(mostCalls, calls);
  }
  controller.stop();
  const sizes = [...fleet.values()].filter(({ isServing }) => isServing).map(({ members }) => members.length);
  expect(sizes.filter((size) => size === 16)).toHaveLength(25);
  expect(sizes.filter((size) => size === 4)).toHaveLength(100);
  expect(mostCalls).toBeLessThanOrEqual(CALLS_PER_ROUND);
}, 30_000);
