import { expect, test, vi } from 'vitest';
import {
  AvailabilityZoneId, ManualClock, RowVersion, type TableRow,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import ConfigurationHolder from '../lib/configuration/ConfigurationHolder.js';
import type FleetConfiguration from '../lib/configuration/FleetConfiguration.js';
import type FleetRowDecoder from '../lib/feed/FleetRowDecoder.js';
import OperatorRowHandler from '../lib/feed/OperatorRowHandler.js';

const LOG: Log = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};
const ZONE = AvailabilityZoneId.parse('a');

function configure(version: number): FleetConfiguration {
  const configuration: Partial<FleetConfiguration> = {
    version, routes: [], services: new Map(), teams: [],
  };
  return configuration as FleetConfiguration;
}

function row(key: string, value: unknown): TableRow {
  return {
    table: 'op', key, version: RowVersion.parse(1), value,
  };
}

/** Rows are keyed by zone, or hold the version of a configuration under `configuration`. */
function create() {
  const clock = new ManualClock(50_000);
  const configuration = new ConfigurationHolder();
  const rows = {
    readOperatorRow: ({ key, value }: TableRow) => (key === 'configuration'
      ? { kind: 'configuration', configuration: configure(Number(value)) }
      : { kind: value === null ? 'zone-opened' : 'zone-closed', zone: AvailabilityZoneId.parse(key) }),
  };
  const handler = new OperatorRowHandler(rows as unknown as FleetRowDecoder, configuration, clock, LOG);
  return { clock, configuration, handler };
}

test('a zone stays out of service when a restored store has no row for it', () => {
  const { clock, handler } = create();
  handler.handleSnapshot([row('a', {})]);
  handler.handleStoreRestored();
  handler.handleSnapshot([]);
  expect(handler.closedZones).toEqual(new Set([ZONE]));
  handler.handleSnapshot([]);
  expect(handler.closedZones).toEqual(new Set([ZONE]));
  handler.handleChanges([row('a', {})]);
  clock.advance(60_000);
  expect(handler.closedZones).toEqual(new Set([ZONE]));
  handler.handleChanges([row('a', null)]);
  expect(handler.closedZones).toEqual(new Set());
});

test('a zone whose row is removed after a restoration is back in service at once', () => {
  const { handler } = create();
  handler.handleSnapshot([row('a', {})]);
  handler.handleStoreRestored();
  handler.handleSnapshot([]);
  handler.handleChanges([row('a', null)]);
  expect(handler.closedZones).toEqual(new Set());
});

test('a zone whose row is not written again returns to service after a delay', () => {
  const { clock, handler } = create();
  handler.handleSnapshot([row('a', {})]);
  handler.handleStoreRestored();
  handler.handleSnapshot([]);
  clock.advance(9_999);
  expect(handler.closedZones).toEqual(new Set([ZONE]));
  clock.advance(1);
  expect(handler.closedZones).toEqual(new Set());
});

test('without a restoration a zone without a row is back in service at once', () => {
  const { handler } = create();
  handler.handleSnapshot([row('a', {})]);
  handler.handleSnapshot([]);
  expect(handler.closedZones).toEqual(new Set());
});

test('a restored store does not bring back an older configuration', () => {
  const { configuration, handler } = create();
  handler.handleSnapshot([row('configuration', 7)]);
  handler.handleStoreRestored();
  handler.handleSnapshot([row('configuration', 5)]);
  expect(configuration.table?.configuration.version).toBe(7);
  handler.handleChanges([row('configuration', 8)]);
  expect(configuration.table?.configuration.version).toBe(8);
});

// Guards against an entry that stops following the operators' table because of one row that cannot be read.
test('an exception in one row leaves the other rows in force', () => {
  const { configuration, handler } = create();
  handler.handleSnapshot([row('not a zone', {}), row('configuration', 3), row('a', {})]);
  expect(configuration.table?.configuration.version).toBe(3);
  expect(handler.closedZones).toEqual(new Set([ZONE]));
  handler.handleChanges([row('not a zone', {}), row('configuration', 4), row('a', null)]);
  expect(configuration.table?.configuration.version).toBe(4);
  expect(handler.closedZones).toEqual(new Set());
});

// Guards against a log that is flooded by one odd row, which is read again with each snapshot.
test('an invalid row of an operator is logged once for each version', () => {
  const { handler } = create();
  const error = vi.spyOn(LOG, 'error');
  handler.handleSnapshot([row('not a zone', {})]);
  handler.handleSnapshot([row('not a zone', {})]);
  handler.handleChanges([{ ...row('not a zone', {}), version: RowVersion.parse(2) }]);
  expect(error).toHaveBeenCalledTimes(2);
});
