import { ReplicaId } from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { findOutliers, LatencyTracker, QuantileEstimate } from '../index.js';

const SEED = 20_261_203;

function replicasOf(count: number): ReplicaId[] {
  return Array.from({ length: count }, (_, index) => ReplicaId.parse(`replica-${index}`));
}

test('outliers are slow and at most a third of all', () => {
  const latencies = fc.array(fc.record({
    milliseconds: fc.constantFrom(10, 11, 12, 40, 90), samples: fc.constantFrom(0, 7, 8, 50),
  }), { maxLength: 12 });
  fc.assert(fc.property(latencies, (all) => {
    const views = all.map((each, index) => ({ ...each, replica: ReplicaId.parse(`replica-${index}`) }));
    const known = views.filter(({ samples }) => samples >= 8).map(({ milliseconds }) => milliseconds);
    const outliers = findOutliers(views);
    expect(outliers.length).toBeLessThanOrEqual(Math.floor(all.length / 3));
    views.filter(({ replica }) => outliers.includes(replica)).forEach(({ milliseconds, samples }) => {
      const slower = known.filter((other) => 2 * other >= milliseconds);
      expect(samples).toBeGreaterThanOrEqual(8);
      expect(slower.length).toBeLessThanOrEqual(known.length / 2);
    });
  }), { seed: SEED, numRuns: 2_000 });
});

test('at most a third of the replicas is ejected', () => {
  const step = fc.record({
    replica: fc.nat({ max: 11 }),
    milliseconds: fc.constantFrom(10, 100),
    count: fc.integer({ min: 2, max: 12 }),
  });
  let ejections = 0;
  fc.assert(fc.property(fc.array(step, { minLength: 60, maxLength: 200 }), (steps) => {
    const tracker = new LatencyTracker();
    steps.forEach(({ replica, milliseconds, count }, index) => {
      const now = index * 1_000;
      Array.from({ length: 8 }, () => tracker.record(ReplicaId.parse(`replica-${replica}`), milliseconds));
      const replicas = replicasOf(count);
      tracker.refresh(replicas, now);
      const out = replicas.filter((each) => tracker.healthOf(each, now) !== 'admitted');
      ejections += out.length;
      expect(out.length).toBeLessThanOrEqual(Math.floor(count / 3));
    });
  }), { seed: SEED, numRuns: 200 });
  expect(ejections).toBeGreaterThan(500);
});

test('a straggler is ejected, probed and readmitted', () => {
  const tracker = new LatencyTracker();
  const replicas = replicasOf(3);
  const [slow = ReplicaId.parse('none')] = replicas;
  replicas.forEach((replica) => {
    Array.from({ length: 8 }, () => tracker.record(replica, replica === slow ? 100 : 20));
  });
  tracker.refresh(replicas, 0);
  expect(replicas.map((replica) => tracker.healthOf(replica, 0))).toEqual(['ejected', 'admitted', 'admitted']);
  expect(tracker.healthOf(slow, 5_000)).toBe('probe');
  tracker.recordProbeSent(slow, 5_000);
  expect(tracker.healthOf(slow, 5_001)).toBe('ejected');
  tracker.recordProbeResult(slow, 100, 6_000);
  expect(tracker.healthOf(slow, 15_999)).toBe('ejected');
  expect(tracker.healthOf(slow, 16_000)).toBe('probe');
  tracker.recordProbeResult(slow, 25, 16_500);
  tracker.refresh(replicas, 16_500);
  expect(tracker.healthOf(slow, 16_500)).toBe('admitted');
  expect(tracker.slownessOf(slow)).toBe(1);
});

test('quantile estimate converges to the quantile', () => {
  const estimate = new QuantileEstimate(0.9);
  // A fixed permutation of 0 to 999, repeated.
  Array.from({ length: 20_000 }, (_, index) => estimate.add((index * 617) % 1_000));
  expect(estimate.value).toBeGreaterThan(800);
  expect(estimate.value).toBeLessThan(980);
});
