import {
  AvailabilityZoneId, ReplicaId, RequestId, SeededRandom, type Replica,
} from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  assessAnswer, assessReplica, chooseTarget, mergeReport, InFlightTokenTracker,
  type LoadEstimate, type RequestView, type TargetView, type ReceivedReport,
} from '../index.js';
import makeReplica from './makeReplica.js';
import makeReport from './makeReport.js';

const SEED = 20_261_203;
const NOW = 10_000;
const FRESHNESS_MILLISECONDS = 3_000;
const ZONES = ['zone-a', 'zone-b'].map((zone) => AvailabilityZoneId.parse(zone));

const load: fc.Arbitrary<LoadEstimate> = fc.record({
  reportedTokens: fc.nat({ max: 5_000 }),
  reportAgeMilliseconds: fc.nat({ max: 3_000 }),
  localTokensSinceReport: fc.nat({ max: 2_000 }),
  localTokensInFlight: fc.nat({ max: 4_000 }),
});

/** Mostly the first value, so that whole replicas are common despite many possible faults. */
function mostly<Value>(usual: Value, ...others: Value[]): fc.Arbitrary<Value> {
  return fc.oneof({ weight: 12, arbitrary: fc.constant(usual) }, fc.constantFrom(...others));
}

/** A replica and the reports of its two VMs, often valid and often with a fault. */
const replicaScenario = fc.record({
  state: fc.constantFrom('serving', 'serving', 'serving', 'draining', 'loading'),
  members: fc.array(fc.record({
    hasReport: mostly(true, false),
    age: mostly(0, 2_999, 3_000, 9_000),
    phase: mostly('warm', 'cold', 'loading', 'stopping', 'empty'),
    isOnReplica: mostly(true, false),
    leaving: mostly(false, true),
    version: mostly('v1', null, 'v0'),
  }), { minLength: 2, maxLength: 2 }),
  available: fc.constantFrom(0, 1, 5),
  isTried: fc.constantFrom(false, false, false, true),
  load,
  cachedPrefixTokens: fc.constantFrom(0, 0, 400),
  zone: fc.constantFrom(...ZONES),
  health: fc.constantFrom('admitted' as const, 'admitted' as const, 'ejected' as const, 'probe' as const),
});
type ReplicaScenario = typeof replicaScenario extends fc.Arbitrary<infer Value> ? Value : never;

function recordsOf(
  scenario: ReplicaScenario,
  index: number,
): { replica: Replica; receivedReports: ReceivedReport[] } {
  const names = [`vm-${index}-0`, `vm-${index}-1`];
  const replica = makeReplica(names, { replica: `replica-${index}`, state: scenario.state });
  const receivedReports = scenario.members.flatMap((member, position) => (member.hasReport ? [{
    report: makeReport({
      vm: names[position],
      phase: member.phase,
      replica: member.isOnReplica ? replica.replica : null,
      leaving: member.leaving,
      version: member.version,
    }),
    receivedAtMilliseconds: NOW - member.age,
  }] : []));
  return { replica, receivedReports };
}

function viewOf(scenario: ReplicaScenario, index: number): TargetView {
  const { replica, receivedReports } = recordsOf(scenario, index);
  return {
    ...scenario,
    replica: replica.replica,
    availabilityZone: scenario.zone,
    assessment: assessReplica(replica, receivedReports, NOW, FRESHNESS_MILLISECONDS),
    slowness: 1,
  };
}

/** Reference implementation: every VM of a serving replica is present and ready. */
function isWholeNaively(scenario: ReplicaScenario): boolean {
  const faulty = scenario.members.filter((member) => !member.hasReport || member.age >= 3_000
    || !['warm', 'cold'].includes(member.phase) || !member.isOnReplica || member.leaving
    || member.version === 'v0');
  return scenario.state === 'serving' && faulty.length === 0;
}

function requestOf(fields: Partial<RequestView> = {}): RequestView {
  return {
    availabilityZone: ZONES[0] ?? AvailabilityZoneId.parse('zone-a'),
    prefixHash: null,
    estimatedTokens: 100,
    tried: [],
    mayProbe: false,
    ...fields,
  };
}

test('chosen replica is whole, untried and has capacity', () => {
  const kinds = new Set<string>();
  fc.assert(fc.property(
    fc.array(replicaScenario, { maxLength: 8, size: 'max' }),
    fc.option(fc.nat()),
    fc.boolean(),
    (scenarios, prefixHash, mayProbe) => {
      const tried = scenarios.flatMap(({ isTried }, index) => (isTried ? [ReplicaId.parse(`replica-${index}`)] : []));
      const request = requestOf({ prefixHash, tried, mayProbe });
      const choice = chooseTarget(request, scenarios.map(viewOf), new SeededRandom(1));
      kinds.add(`${choice.kind} ${choice.reason}`);
      const whole = scenarios.filter((each) => isWholeNaively(each) && !each.isTried);
      const open = whole.filter(({ available }) => available > 0);
      if (choice.kind === 'none') {
        expect(open).toEqual([]);
        expect(choice.reason).toBe(whole.length > 0 ? 'all-full' : 'no-whole-replica');
        return;
      }
      const chosen = scenarios[Number(choice.replica.slice('replica-'.length))];
      expect(open).toContain(chosen);
      const isAdmittedOpen = open.some(({ health }) => health === 'admitted');
      expect(chosen?.health === 'admitted' || choice.reason === 'probe' || !isAdmittedOpen).toBe(true);
    },
  ), { seed: SEED, numRuns: 5_000 });
  expect(kinds.size).toBe(8);
});

/** Views of whole replicas with capacity and the given loads, alternating between two zones. */
function viewsOf(loads: readonly LoadEstimate[]): TargetView[] {
  return loads.map((each, index) => ({
    replica: ReplicaId.parse(`replica-${index}`),
    availabilityZone: ZONES[index % 2] ?? requestOf().availabilityZone,
    assessment: {
      kind: 'whole', phase: 'warm', members: [], receivedAtMilliseconds: 0, freshUntilMilliseconds: Infinity,
    },
    available: 1,
    load: each,
    cachedPrefixTokens: index % 3 === 0 ? 400 : 0,
    health: 'admitted',
    slowness: 1,
  }));
}

test('picks the least loaded in the zone, bounds the load for prefix affinity', () => {
  const reasons = new Set<string>();
  fc.assert(fc.property(
    fc.array(load, { minLength: 2, maxLength: 8 }),
    fc.option(fc.nat()),
    (loads, prefixHash) => {
      const naive = loads.map((each) => 100 + Math.max(
        each.reportedTokens * Math.exp((-Math.LN2 * each.reportAgeMilliseconds) / 4_000)
          + each.localTokensSinceReport,
        each.localTokensInFlight,
      ));
      const choice = chooseTarget(requestOf({ prefixHash }), viewsOf(loads), new SeededRandom(1));
      const index = choice.kind === 'chosen' ? Number(choice.replica.slice('replica-'.length)) : NaN;
      reasons.add(choice.reason);
      const least = Math.min(...naive);
      const leastNear = Math.min(...naive.filter((_, position) => position % 2 === 0));
      const isZoneOverloaded = leastNear > 1.5 * least + 200;
      const mean = naive.reduce((sum, tokens) => sum + tokens, 0) / naive.length;
      const tokens = naive[index] ?? NaN;
      if (prefixHash === null) {
        expect(tokens).toBeCloseTo(isZoneOverloaded ? least : leastNear, 6);
      } else {
        expect(tokens).toBeLessThanOrEqual(1.25 * mean + 200 + 1e-6);
        const isHeld = naive.some((each, position) => position % 3 === 0 && each < 1.25 * mean + 200);
        expect(choice.reason).toBe(isHeld ? 'prefix-cached' : 'prefix-assigned');
      }
    },
  ), { seed: SEED, numRuns: 3_000 });
  expect(reasons).toEqual(new Set([
    'prefix-cached', 'prefix-assigned', 'least-tokens', 'least-tokens-other-zone',
  ]));
});

test('in-flight tokens equal the sum over the requests in flight', () => {
  const step = fc.record({ id: fc.nat({ max: 5 }), isSent: fc.boolean(), isReport: fc.boolean() });
  fc.assert(fc.property(fc.array(step, { maxLength: 60, size: 'max' }), (steps) => {
    const work = new InFlightTokenTracker();
    const naive = new Map<RequestId, number>();
    let reportedAt = 0;
    steps.forEach(({ id, isSent, isReport }, now) => {
      const request = RequestId.parse(`r-${id}`);
      naive.delete(request);
      if (isSent) {
        naive.set(request, now);
        work.recordDispatch(request, 10, now);
      } else {
        work.recordCompletion(request);
      }
      reportedAt = isReport ? now : reportedAt;
      const since = [...naive.values()].filter((sentAt) => sentAt >= reportedAt);
      expect(work.estimate(7, reportedAt, now)).toEqual({
        reportedTokens: 7,
        reportAgeMilliseconds: now - reportedAt,
        localTokensSinceReport: 10 * since.length,
        localTokensInFlight: 10 * naive.size,
      });
    });
  }), { seed: SEED, numRuns: 1_000 });
});

test('answer stays valid when a member leaves, not when it restarts', () => {
  const replica = makeReplica(['vm-1'], { state: 'draining' });
  const first = mergeReport(undefined, makeReport({ sequence: 5 }), NOW);
  const sentTo = [{ vm: first.report.vm, incarnation: first.report.incarnation }];
  const leaving = mergeReport(first, makeReport({ sequence: 6, leaving: true, phase: 'stopping' }), NOW);
  const restarted = mergeReport(leaving, makeReport({ sequence: 1, incarnation: 2 }), NOW);
  const assess = (received: ReceivedReport): unknown => (
    assessAnswer(replica, [received], NOW, FRESHNESS_MILLISECONDS, sentTo)
  );
  expect(assess(leaving)).toEqual({ kind: 'valid' });
  expect(assess(restarted)).toMatchObject({ kind: 'invalid', reason: 'incarnation-changed' });
  // A late report of the former process does not undo the restart.
  expect(mergeReport(restarted, makeReport({ sequence: 7 }), NOW)).toBe(restarted);
});
