import {
  RequestId, TeamId, type Priority,
} from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { AdmissionQueue, type AdmissionRequest } from '../index.js';
import type TeamDemand from './TeamDemand.js';
import canTakeSlotNaively from './canTakeSlotNaively.js';
import allocateSlotsNaively from './allocateSlotsNaively.js';

const SEED = 20_261_203;
const FAR_MILLISECONDS = 1e9;
const WEIGHTS: Record<string, number> = { 'team-0': 1, 'team-1': 2, 'team-2': 4 };

function queueOf(capacity: number, maximumQueued = 1_000): AdmissionQueue {
  return new AdmissionQueue({
    capacity, maximumQueued, initialServiceMilliseconds: 100, weightOf: (team) => WEIGHTS[team] ?? 1,
  });
}

function requestOf(id: string, team: string, fields: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    requestId: RequestId.parse(id),
    team: TeamId.parse(team),
    priority: 'interactive',
    deadlineMilliseconds: FAR_MILLISECONDS,
    queueUntilMilliseconds: FAR_MILLISECONDS,
    expectedServiceMilliseconds: 0,
    ...fields,
  };
}

test('slots are allocated by weighted max-min fairness', () => {
  const demands = fc.array(fc.nat({ max: 30 }), { minLength: 1, maxLength: 3 });
  fc.assert(fc.property(demands, fc.integer({ min: 1, max: 48 }), (wanted, capacity) => {
    const queue = queueOf(capacity);
    const fillers = Array.from({ length: capacity }, (_, index) => requestOf(`filler-${index}`, 'filler'));
    fillers.forEach((filler) => queue.offer(filler, 0));
    wanted.forEach((count, team) => {
      Array.from({ length: count }, (_, index) => queue.offer(requestOf(`r-${team}-${index}`, `team-${team}`), 0));
    });
    fillers.forEach(({ requestId }) => queue.release(requestId, 1));
    const naive = allocateSlotsNaively(wanted.map((demand, index) => (
      { team: `team-${index}`, demand, weight: WEIGHTS[`team-${index}`] ?? 1 }
    )), capacity);
    const running = wanted.map((_, index) => queue.runningOf(TeamId.parse(`team-${index}`)));
    const levels = (shares: readonly number[]): number[] => shares
      .map((share, index) => share / (WEIGHTS[`team-${index}`] ?? 1)).sort((left, right) => left - right);
    // Ties may be broken either way: max-min fairness determines the sorted levels and the sum.
    expect(levels(running)).toEqual(levels([...naive.values()]));
  }), { seed: SEED, numRuns: 2_000 });
});

/** A step of a random run. `pick` selects an existing item, modulo the count. */
const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('offer' as const), team: fc.nat({ max: 2 }), priority: fc.constantFrom<Priority>('interactive', 'interactive', 'batch'), patience: fc.constantFrom(5, 50, 400, 5_000),
    }),
  },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('release' as const), pick: fc.nat({ max: 50 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat({ max: 50 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('advance' as const), milliseconds: fc.constantFrom(1, 10, 100) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('capacity' as const), capacity: fc.nat({ max: 6 }) }) },
);

test('queue keeps its invariants in any order of events', () => {
  const totals = {
    queued: 0, admittedLater: 0, refused: 0, expired: 0,
  };
  const capacities = fc.constantFrom(4, 33);
  fc.assert(fc.property(capacities, fc.array(step, { maxLength: 300, size: 'max' }), (full, steps) => {
    const queue = queueOf(full, 20);
    const waiting = new Map<RequestId, AdmissionRequest>();
    const running = new Map<RequestId, AdmissionRequest>();
    let now = 0;
    let capacity: number = full;
    let passedOverBatch = 0;
    const level = (team: TeamId): number => (
      [...running.values()].filter((each) => each.team === team).length / (WEIGHTS[team] ?? 1));
    const demandsWith = (...more: AdmissionRequest[]): TeamDemand[] => {
      const requests = [...running.values(), ...waiting.values(), ...more];
      return Object.entries(WEIGHTS).map(([team, weight]) => (
        { team, weight, demand: requests.filter((each) => each.team === team).length }));
    };
    const admit = (ids: readonly RequestId[]): void => ids.forEach((id) => {
      const request = waiting.get(id);
      expect(request).toBeDefined();
      if (request === undefined) {
        return;
      }
      totals.admittedLater += 1;
      const rivals = [...waiting.values()].filter(({ priority }) => priority === request.priority);
      expect(level(request.team)).toBe(Math.min(...rivals.map(({ team }) => level(team))));
      const isBatchWaiting = [...waiting.values()].some(({ priority }) => priority === 'batch');
      passedOverBatch = isBatchWaiting && request.priority === 'interactive' ? passedOverBatch + 1 : 0;
      expect(passedOverBatch).toBeLessThan(10);
      waiting.delete(id);
      running.set(id, request);
    });
    steps.forEach((event, index) => {
      switch (event.kind) {
        case 'offer': {
          const { priority, patience } = event;
          const until = now + patience;
          const request = requestOf(`r-${index}`, `team-${event.team}`, { priority, queueUntilMilliseconds: until });
          const decision = queue.offer(request, now);
          const isFirst = ![...waiting.values()].some(({ team }) => team === request.team);
          const canTakeSlot = canTakeSlotNaively(
            demandsWith(request),
            capacity,
            running.size,
            level(request.team),
          );
          expect(decision.kind === 'admitted').toBe(isFirst && canTakeSlot);
          if (decision.kind === 'admitted') {
            running.set(request.requestId, request);
          } else if (decision.kind === 'queued') {
            totals.queued += 1;
            expect(now + decision.expectedWaitMilliseconds).toBeLessThanOrEqual(until);
            waiting.set(request.requestId, request);
          } else {
            totals.refused += 1;
            expect(decision.refusal.retryAfterSeconds).toBeGreaterThanOrEqual(1);
          }
          break;
        }
        case 'release': {
          const id = [...running.keys()][event.pick % Math.max(1, running.size)];
          if (id !== undefined) {
            running.delete(id);
            admit(queue.release(id, now));
          }
          break;
        }
        case 'cancel': {
          const id = [...waiting.keys()][event.pick % Math.max(1, waiting.size)];
          if (id !== undefined) {
            expect(queue.cancel(id)).toBe(true);
            waiting.delete(id);
            admit(queue.admitWaiting(now));
          }
          break;
        }
        case 'advance':
          now += event.milliseconds;
          queue.expire(now).forEach(({ requestId }) => {
            totals.expired += 1;
            expect(waiting.delete(requestId)).toBe(true);
          });
          admit(queue.admitWaiting(now));
          waiting.forEach((request) => {
            expect(request.queueUntilMilliseconds).toBeGreaterThanOrEqual(now);
          });
          break;
        case 'capacity':
          capacity = Math.max(0, full - event.capacity);
          admit(queue.setCapacity(capacity, now));
          break;
        default:
          event satisfies never;
      }
      expect(queue.running).toBe(running.size);
      expect(queue.queued).toBe(waiting.size);
      // No slot stays free while a waiting request may take it.
      const demands = demandsWith();
      waiting.forEach(({ team }) => {
        expect(canTakeSlotNaively(demands, capacity, running.size, level(team))).toBe(false);
      });
    });
  }), { seed: SEED, numRuns: 1_000 });
  expect(Math.min(...Object.values(totals))).toBeGreaterThan(500);
});

test('a small team is served beside a large one', () => {
  const queue = queueOf(2);
  const until = { queueUntilMilliseconds: 500 };
  const large = Array.from({ length: 50 }, (_, index) => requestOf(`large-${index}`, 'large', until));
  const decisions = large.map((request) => queue.offer(request, 0));
  expect(decisions.filter(({ kind }) => kind === 'admitted')).toHaveLength(2);
  expect(queue.offer(requestOf('small-0', 'small', until), 0).kind).toBe('queued');
  expect(queue.offer(requestOf('large-50', 'large', until), 0))
    .toMatchObject({ kind: 'refused', refusal: { kind: 'team-over-share', retryAfterSeconds: 1 } });
  expect(queue.release(RequestId.parse('large-0'), 1)).toEqual(['small-0']);
});

test('refusals report their kind', () => {
  const queue = queueOf(1);
  const longWait = { queueUntilMilliseconds: 1_000 };
  const tightDeadline = { expectedServiceMilliseconds: 900, deadlineMilliseconds: 800 };
  expect(queue.offer(requestOf('a', 'team-0', tightDeadline), 0))
    .toMatchObject({ kind: 'refused', refusal: { kind: 'deadline-unreachable' } });
  expect(queue.offer(requestOf('b', 'team-0', longWait), 0).kind).toBe('admitted');
  const patience = { queueUntilMilliseconds: 50 };
  expect(queue.offer(requestOf('c', 'team-0', patience), 0))
    .toMatchObject({ kind: 'refused', refusal: { kind: 'overloaded' } });
  queue.setCapacity(0, 0);
  expect(queue.offer(requestOf('d', 'team-0', longWait), 0))
    .toMatchObject({ kind: 'refused', refusal: { kind: 'overloaded' } });
});

test('batch gets every tenth slot while interactive requests wait', () => {
  const queue = queueOf(1);
  queue.offer(requestOf('r-0', 'team-0'), 0);
  Array.from({ length: 25 }, (_, index) => queue.offer(requestOf(`interactive-${index}`, 'team-0'), 0));
  Array.from({ length: 2 }, (_, index) => (
    queue.offer(requestOf(`batch-${index}`, 'team-0', { priority: 'batch' }), 0)));
  const order: RequestId[] = [];
  for (let last = RequestId.parse('r-0'); order.length < 27; last = order.at(-1) ?? last) {
    order.push(...queue.release(last, order.length));
  }
  expect(order.flatMap((id, index) => (id.startsWith('batch') ? [index] : []))).toEqual([9, 19]);
});
