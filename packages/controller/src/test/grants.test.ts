import {
  AvailabilityZoneId, EntryId, FencingNumber, Incarnation, ManualClock, RegionId, ReplicaId, RowVersion,
  ServiceId, ServiceLimits, VMId, type EntryRecord, type Grant, type Replica,
} from '@dandelionlane/core';
import { expect, test } from 'vitest';
import GrantPlanner from '../lib/grants/GrantPlanner.js';
import readAcknowledgements from '../lib/grants/readAcknowledgements.js';

const limits = ServiceLimits.parse({ coldConcurrency: 3, warmConcurrency: 30 });
const service = ServiceId.parse('proofs');
const replicaId = ReplicaId.parse('proofs.1');

function createEntry(name: string, incarnation = 1): EntryRecord {
  return {
    entry: EntryId.parse(name),
    region: RegionId.parse('r'),
    availabilityZone: AvailabilityZoneId.parse('z'),
    incarnation: Incarnation.parse(incarnation),
    callerAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
  };
}

function createReplica(grants: readonly Grant[]): Replica {
  return {
    replica: replicaId,
    service,
    version: '1',
    state: 'serving',
    fencing: FencingNumber.parse(1),
    members: [{
      vm: VMId.parse('a'), address: '127.0.0.1:3', availabilityZone: 'z' as never, fabricDomain: 'f' as never,
    }],
    grants: [...grants],
  };
}

/** Plans and commits until the grants no longer change. */
function settle(
  planner: GrantPlanner,
  homes: readonly EntryRecord[],
  grants: readonly Grant[],
): readonly Grant[] {
  const planned = planner.plan({
    replica: createReplica(grants), limits, homes, target: undefined,
  });
  if (planned === null) {
    return grants;
  }
  planner.recordCommitted(replicaId, grants, planned);
  return settle(planner, homes, planned);
}

function coldSum(grants: readonly Grant[]): number {
  return grants.reduce((sum, { cold }) => sum + cold, 0);
}

function createHomes(...names: readonly string[]): readonly EntryRecord[] {
  return names.map((name) => createEntry(name));
}

test('new replica grants its whole cold limit', () => {
  const grants = settle(new GrantPlanner(new ManualClock()), createHomes('a', 'b', 'c'), []);
  expect(grants.map(({ cold }) => cold)).toEqual([1, 1, 1]);
});

test('cold share of a silent entry is not reassigned', () => {
  const planner = new GrantPlanner(new ManualClock());
  const before = settle(planner, createHomes('a', 'b', 'c'), []);
  const after = settle(planner, createHomes('a', 'b', 'd'), before);
  expect(after.find(({ entry }) => entry === 'd')?.cold).toBe(0);
  expect(coldSum(after)).toBe(2);
});

test('warm share of a silent entry is reassigned at once', () => {
  const planner = new GrantPlanner(new ManualClock());
  const before = settle(planner, createHomes('a', 'b', 'c'), []);
  const after = settle(planner, createHomes('a', 'b', 'd'), before);
  expect(after.find(({ entry }) => entry === 'd')?.warm).toBe(10);
});

test('cold share is reassigned after the process has ended', () => {
  const clock = new ManualClock();
  const planner = new GrantPlanner(clock);
  planner.updateEntries(createHomes('a', 'b', 'c'));
  const before = settle(planner, createHomes('a', 'b', 'c'), []);
  const between = settle(planner, createHomes('a', 'b', 'd'), before);
  expect(planner.unacknowledgedEntries().map(({ entry }) => entry)).toEqual(['c']);
  planner.recordEntryGone(EntryId.parse('c'));
  clock.advance(limits.requestTimeoutMilliseconds);
  const after = settle(planner, createHomes('a', 'b', 'd'), between);
  expect(after.find(({ entry }) => entry === 'd')?.cold).toBe(1);
});

test('restart in a new incarnation frees the share', () => {
  const clock = new ManualClock();
  const planner = new GrantPlanner(clock);
  planner.updateEntries(createHomes('a', 'b', 'c'));
  const before = settle(planner, createHomes('a', 'b', 'c'), []);
  const between = settle(planner, createHomes('a', 'b', 'd'), before);
  planner.updateEntries([createEntry('c', 2)]);
  clock.advance(limits.requestTimeoutMilliseconds);
  expect(coldSum(settle(planner, createHomes('a', 'b', 'd'), between))).toBe(3);
});

test('new planner assumes that withheld shares are in use', () => {
  const clock = new ManualClock();
  const first = new GrantPlanner(clock);
  const before = settle(first, createHomes('a', 'b', 'c'), []);
  const between = settle(first, createHomes('a', 'b', 'd'), before);
  const after = settle(new GrantPlanner(clock), createHomes('a', 'b', 'd'), between);
  expect(coldSum(after)).toBe(2);
});

test('entry with an older row acknowledges nothing', () => {
  const versioned = {
    placement: { service, replicas: [createReplica([])] }, version: RowVersion.parse(7),
  };
  const document = (version: number) => ({
    services: [{ service, version, replicas: [{ replica: replicaId, inFlight: 1 }] }],
  });
  expect(readAcknowledgements(EntryId.parse('a'), document(6), [versioned])).toEqual([]);
  expect(readAcknowledgements(EntryId.parse('a'), document(7), [versioned]))
    .toEqual([{ entry: 'a', replica: replicaId, inFlight: 1 }]);
});
