import {
  AvailabilityZoneId, EntryId, Replica, ReplicaId, RequestId, RowVersion, SeededRandom, TeamId, VMReport,
} from '@dandelionlane/core';
import {
  AdmissionQueue, assessReplica, chooseTarget, ConcurrencyLimiter, decideRetry, LatencyTracker,
  mergeReport, InFlightTokenTracker,
  planGrants, RetryBudget, type AdmissionRequest, type RequestView, type TargetView, type ReceivedReport,
} from '../index.js';
import measureBytes from './measureBytes.js';
import measureMicroseconds from './measureMicroseconds.js';
import printTable from './printTable.js';

const RUNS = 20_000;
const SLOW_RUNS = 200;
const MEMBERS = 4;
const FAR_MILLISECONDS = 1e12;
const ZONES = ['zone-a', 'zone-b', 'zone-c'].map((zone) => AvailabilityZoneId.parse(zone));

function makeReplica(): Replica {
  return Replica.parse({
    replica: 'replica-0',
    service: 'service',
    version: 'v1',
    state: 'serving',
    fencing: 1,
    members: Array.from({ length: MEMBERS }, (_, index) => ({
      vm: `vm-${index}`, address: 'a:1', availabilityZone: 'zone-a', fabricDomain: 'domain',
    })),
    grants: [],
  });
}

function makeReports(): ReceivedReport[] {
  return Array.from({ length: MEMBERS }, (_, index) => mergeReport(undefined, VMReport.parse({
    vm: `vm-${index}`,
    incarnation: 1,
    sequence: 1,
    phase: 'warm',
    replica: 'replica-0',
    service: 'service',
    version: 'v1',
    fencing: 1,
    leaving: false,
    runningRequests: 4,
    waitingRequests: 0,
    outstandingTokens: 900,
  }), 0));
}

function makeTargets(count: number): TargetView[] {
  const random = new SeededRandom(7);
  return Array.from({ length: count }, (_, index) => ({
    replica: ReplicaId.parse(`replica-${index}`),
    availabilityZone: ZONES[index % ZONES.length] ?? AvailabilityZoneId.parse('zone-a'),
    assessment: {
      kind: 'whole', phase: 'warm', members: [], receivedAtMilliseconds: 0, freshUntilMilliseconds: Infinity,
    },
    available: 1 + Math.floor(random.next() * 8),
    load: {
      reportedTokens: random.next() * 4_000,
      reportAgeMilliseconds: random.next() * 1_000,
      localTokensSinceReport: random.next() * 500,
      localTokensInFlight: random.next() * 1_500,
    },
    cachedPrefixTokens: index % 5 === 0 ? 400 : 0,
    health: 'admitted',
    slowness: 1,
  }));
}

function makeRequest(index: number, teams: number): AdmissionRequest {
  return {
    requestId: RequestId.parse(`request-${index}`),
    team: TeamId.parse(`team-${index % teams}`),
    priority: 'interactive',
    deadlineMilliseconds: FAR_MILLISECONDS,
    queueUntilMilliseconds: FAR_MILLISECONDS,
    expectedServiceMilliseconds: 0,
  };
}

/** Creates a queue with all slots taken and this many requests waiting. */
function makeQueue(queued: number, teams: number): AdmissionQueue {
  const capacity = 32;
  const queue = new AdmissionQueue({
    capacity, maximumQueued: 1_000_000, initialServiceMilliseconds: 100, weightOf: () => 1,
  });
  for (let index = 0; index < capacity + queued; index += 1) {
    queue.offer(makeRequest(index, teams), 0);
  }
  return queue;
}

function measureChoice(): Record<string, string | number>[] {
  const request: RequestView = {
    availabilityZone: ZONES[0] ?? AvailabilityZoneId.parse('zone-a'),
    prefixHash: 12_345,
    estimatedTokens: 200,
    tried: [],
    mayProbe: true,
  };
  const random = new SeededRandom(1);
  return [1, 3, 12, 48, 192].map((candidates) => {
    const targets = makeTargets(candidates);
    return {
      candidates,
      'with prefix us': measureMicroseconds(RUNS, () => chooseTarget(request, targets, random)),
      'without prefix us': measureMicroseconds(
        RUNS,
        () => chooseTarget({ ...request, prefixHash: null }, targets, random),
      ),
    };
  });
}

/** Cost of one request: an offer, and a release that admits the head of the queue. */
function measureQueueTurn(queued: number, teams: number): number {
  const queue = makeQueue(queued, teams);
  const running = Array.from({ length: 32 }, (_, index) => RequestId.parse(`request-${index}`));
  const requests = Array.from({ length: 200_000 }, (_, index) => makeRequest(1_000_000 + index, teams));
  let next = 0;
  return measureMicroseconds(RUNS, () => {
    const request = requests[next];
    const oldest = running.shift();
    next += 1;
    if (request === undefined || oldest === undefined) {
      throw new RangeError('more runs than prepared or running requests');
    }
    queue.offer(request, 0);
    running.push(...queue.release(oldest, 0));
  });
}

function measureQueue(): Record<string, string | number>[] {
  return [1, 10, 100].flatMap((teams) => [0, 10, 100, 1_000].map((queued) => {
    const queue = makeQueue(queued, teams);
    return {
      teams,
      queued,
      'offer and release us': measureQueueTurn(queued, teams),
      'expire us': measureMicroseconds(SLOW_RUNS, () => queue.expire(1)),
    };
  }));
}

function measureOthers(): Record<string, string | number>[] {
  const replica = makeReplica();
  const reports = makeReports();
  const [first] = reports;
  const limiter = new ConcurrencyLimiter({
    grant: { entry: EntryId.parse('entry-0'), cold: 2, warm: 12 },
    version: RowVersion.parse(1),
    readAtMilliseconds: 0,
  });
  limiter.updateAssessment(assessReplica(replica, reports, 0, 3_000));
  const tracker = new InFlightTokenTracker();
  const busyTracker = new InFlightTokenTracker();
  Array.from({ length: 1_000 }, (_, index) => busyTracker.recordDispatch(RequestId.parse(`r-${index}`), 100, index));
  const latencies = new LatencyTracker();
  const replicas = Array.from({ length: 12 }, (_, index) => ReplicaId.parse(`replica-${index}`));
  const budget = new RetryBudget();
  const homes = [0, 1, 2].map((index) => EntryId.parse(`entry-${index}`));
  const limits = { coldConcurrency: 2, warmConcurrency: 32, requestTimeoutMilliseconds: 60_000 };
  const calls: Record<string, (run: number) => void> = {
    'assessReplica, 4 members': () => assessReplica(replica, reports, 1, 3_000),
    'mergeSighting, newer report': () => first && mergeReport(first, { ...first.report, sequence: 2 }, 1),
    'limiter: dispatch and finish': () => limiter.recordCompletion(limiter.recordDispatch(), 'success', 1),
    'limiter: available': () => limiter.available(1),
    'own work: dispatch, estimate, finish': () => {
      const id = 'request-1' as RequestId;
      tracker.recordDispatch(id, 100, 1);
      tracker.estimate(1_000, 0, 2);
      tracker.recordCompletion(id);
    },
    'own work: estimate, 1000 in flight': () => busyTracker.estimate(1_000, 500, 1_000),
    'latencies: record': () => latencies.record(replica.replica, 20),
    'latencies: refresh, 12 replicas': () => latencies.refresh(replicas, 1),
    'decideRetry, budget spent': () => decideRetry({
      repeatable: true,
      resumable: true,
      progress: { kind: 'sent' },
      cause: 'target-lost',
      mayHaveRunBefore: false,
      attempts: 1,
      hasAlternative: true,
      remainingMilliseconds: 1_000,
      budget,
    }),
    'planGrants, 3 homes': () => planGrants({
      replica: replica.replica,
      limits,
      homes,
      previous: [],
      withdrawn: [],
      target: first,
      monotonicMilliseconds: 1,
    }),
  };
  return Object.entries(calls).map(([decision, call]) => ({ decision, us: measureMicroseconds(RUNS, call) }));
}

function measureMemory(): Record<string, string | number>[] {
  const items = 20_000;
  return [
    { item: 'waiting request (its record and ids included)', bytes: measureBytes(items, () => makeQueue(items, 10)) },
    {
      item: 'request in flight, own work',
      bytes: measureBytes(items, () => {
        const tracker = new InFlightTokenTracker();
        Array.from({ length: items }, (_, index) => tracker.recordDispatch(RequestId.parse(`r-${index}`), 100, index));
        return tracker;
      }),
    },
    {
      item: 'limiter of one replica',
      bytes: measureBytes(items, () => Array.from({ length: items }, () => new ConcurrencyLimiter({
        grant: { entry: EntryId.parse('entry-0'), cold: 2, warm: 12 },
        version: RowVersion.parse(1),
        readAtMilliseconds: 0,
      }))),
    },
    {
      item: 'sightings of one replica of 4 VMs',
      bytes: measureBytes(items, () => Array.from({ length: items }, () => makeReports())),
    },
  ];
}

/** Measures processor time per decision and memory per request for growing numbers of items. */
export default function runCost(): void {
  printTable('Cost of a choice of target', measureChoice());
  printTable('Cost of admission, 32 places', measureQueue());
  printTable('Cost of other decisions', measureOthers());
  printTable('Memory', measureMemory());
}
