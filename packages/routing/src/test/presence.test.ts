import { Incarnation, VMId } from '@dandelionlane/core';
import { expect, test } from 'vitest';
import { assessReplica, hasSameIncarnations, type MemberIncarnation } from '../index.js';
import makeReplica from './makeReplica.js';
import makeReport from './makeReport.js';

const NOW = 1_000;
const FRESHNESS_MILLISECONDS = 500;

test('order of members does not affect the expected incarnations', () => {
  const replica = makeReplica(['vm-1', 'vm-2']);
  const receivedReports = replica.members.map(({ vm }, index) => ({
    report: makeReport({ vm, incarnation: Incarnation.parse(index + 1) }), receivedAtMilliseconds: NOW,
  }));
  const formed = assessReplica(replica, receivedReports, NOW, FRESHNESS_MILLISECONDS);
  const members = formed.kind === 'whole' ? formed.members : [];
  const reordered = { ...replica, members: [...replica.members].reverse() };
  const assessment = assessReplica(reordered, receivedReports, NOW, FRESHNESS_MILLISECONDS, members);
  expect(members.length).toBeGreaterThan(1);
  expect(assessment.kind).toBe('whole');
});

test('incarnations are compared in any order', () => {
  const first: MemberIncarnation = { vm: VMId.parse('a'), incarnation: Incarnation.parse(1) };
  const second: MemberIncarnation = { vm: VMId.parse('b'), incarnation: Incarnation.parse(2) };
  expect(hasSameIncarnations([first, second], [second, first])).toBe(true);
  const restarted = { ...second, incarnation: Incarnation.parse(3) };
  expect(hasSameIncarnations([first, second], [first, restarted])).toBe(false);
  expect(hasSameIncarnations([first, second], [first])).toBe(false);
});
