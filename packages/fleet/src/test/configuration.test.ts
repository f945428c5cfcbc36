import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  AvailabilityZoneId, ManualClock, ServiceId, WorkerId,
} from '@dandelionlane/core';
import ConfigurationHolder from '../lib/configuration/ConfigurationHolder.js';
import type FleetConfiguration from '../lib/configuration/FleetConfiguration.js';
import type Route from '../lib/configuration/Route.js';
import type Worker from '../lib/workers/Worker.js';
import WorkerTable from '../lib/workers/WorkerTable.js';

const PARAMETERS = { seed: 20_261_204, numRuns: 200 };

function route(prefix: string): Route {
  return {
    name: prefix,
    host: 'h.example',
    prefix,
    request: { kind: 'idempotent' },
    timeoutMilliseconds: 1,
    targetLatencyMilliseconds: 1,
    priority: 0,
    maximumAttempts: 1,
    services: [],
    anonymous: true,
  };
}

function configuration(version: number, routes: readonly Route[] = []): FleetConfiguration {
  return {
    version,
    routes,
    services: new Map(),
    teams: [],
    limits: { maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  };
}

test('a configuration is never replaced by an older one', () => {
  fc.assert(fc.property(fc.array(fc.nat(50), { minLength: 1, maxLength: 30 }), (versions) => {
    const holder = new ConfigurationHolder();
    let newest = -1;
    versions.forEach((version) => {
      holder.accept(configuration(version));
      newest = Math.max(newest, version);
      expect(holder.table?.configuration.version).toBe(newest);
    });
  }), PARAMETERS);
});

test('the longest prefix wins', () => {
  const holder = new ConfigurationHolder();
  holder.accept(configuration(1, [route('/a/'), route('/a/b/')]));
  const name = (path: string) => {
    const match = holder.table?.match('H.example:80', path);
    return match?.kind === 'matched' ? match.route.name : null;
  };
  expect(name('/a/b/c')).toBe('/a/b/');
  expect(name('/a/c')).toBe('/a/');
  expect(name('/ab/c')).toBeNull();
});

function worker(draining: boolean): Worker {
  return {
    id: WorkerId.parse('w'),
    service: ServiceId.parse('s'),
    address: 'h:1',
    zone: AvailabilityZoneId.parse('z'),
    domain: null,
    slots: 1,
    draining,
    coldMilliseconds: 0,
    bornAt: null,
    models: [],
    stagedModels: [],
    group: null,
  };
}

test('a worker whose registration is gone is removed at once', () => {
  const table = new WorkerTable(new ManualClock(10_000));
  table.put(worker(false));
  table.remove(WorkerId.parse('w'));
  expect(table.all()).toEqual([]);
});

test('a worker whose registration lapsed during an outage is kept until it may return', () => {
  const clock = new ManualClock(10_000);
  const table = new WorkerTable(clock);
  table.put(worker(false));
  table.recordStoreRecovery();
  table.remove(WorkerId.parse('w'));
  expect(table.all()).toHaveLength(1);
  clock.advance(2_200);
  table.expire();
  expect(table.all()).toEqual([]);
});

test('a worker that was leaving is not kept', () => {
  const table = new WorkerTable(new ManualClock(10_000));
  table.put(worker(true));
  table.recordStoreRecovery();
  table.remove(WorkerId.parse('w'));
  expect(table.all()).toEqual([]);
});
