import {
  IdempotencyKey, Problem, RequestId, ServiceId, TeamId,
} from '@dandelionlane/core';
import type { JournalRun } from '@dandelionlane/standin';
import { expect, test } from 'vitest';
import { type CallOutcome, type CallRecord, reconcile } from '../index.js';

const problem = Problem.parse({
  type: 't', title: 't', status: 503, detail: 'd', kind: 'overloaded', outcome: 'not-run',
});

function record(requestId: string, key: string, outcome: CallOutcome): CallRecord {
  return {
    call: {
      requestId: RequestId.parse(requestId),
      team: TeamId.parse('t'),
      service: ServiceId.parse('s'),
      offsetMilliseconds: 0,
      content: key === ''
        ? { kind: 'plain', note: 'n', delayMilliseconds: 0 }
        : {
          kind: 'keyed', key: IdempotencyKey.parse(key), slot: key, delayMilliseconds: 0,
        },
    },
    result: { outcome, tokenTimes: [] },
    intendedStart: 0,
    sentAt: 0,
    endedAt: 0,
  };
}

function run(requestId: string, idempotencyKey: string | null, outcome: JournalRun['outcome'] = 'finished'): JournalRun {
  const at = '2026-01-01T00:00:00.000Z';
  return {
    requestId,
    idempotencyKey,
    team: 't',
    vm: 'vm-1',
    method: 'POST',
    path: '/slots',
    service: 's',
    replica: 'r',
    startedAt: at,
    endedAt: at,
    outcome,
    incarnation: 1,
  };
}

function failures(records: CallRecord[], runs: JournalRun[], fellOver = 0): string[] {
  const before = { runs: [], maximumRunningWhileCold: 0, fellOver: 0 };
  return reconcile(records, { before, after: { ...before, runs, fellOver } })
    .filter(({ passed }) => !passed)
    .map(({ name }) => name);
}

const answered = { kind: 'answered' } as const;
const refused = { kind: 'refused', problem } as const;

test('consistent run passes', () => {
  const records = [
    record('a', 'k', answered), record('b', 'k', answered), record('c', '', refused), record('d', '', answered),
  ];
  expect(failures(records, [run('a', 'k'), run('d', null, 'failed'), run('d', null)])).toEqual([]);
});

test('false not-run', () => {
  expect(failures([record('a', '', refused)], [run('a', null, 'cancelled')])).toEqual(['not-run-is-true']);
});

test('unreachable but ran', () => {
  expect(failures([record('a', '', { kind: 'unreachable', detail: '' })], [run('a', null)])).toEqual(['not-run-is-true']);
});

test('key ran twice', () => {
  const unknown = { kind: 'timeout' } as const;
  expect(failures([record('a', 'k', unknown), record('b', 'k', unknown)], [run('a', 'k'), run('b', null)]))
    .toEqual(['keys-at-most-once']);
});

test('answered without a run', () => {
  expect(failures([record('a', '', answered)], [run('a', null, 'cancelled')])).toEqual(['successes-ran-once']);
  expect(failures([record('a', 'k', answered)], [])).toEqual(['successes-ran-once']);
});

test('repeatable call finished twice', () => {
  expect(failures([record('a', '', answered)], [run('a', null), run('a', null)])).toEqual(['successes-ran-once']);
});

test('target fell over', () => {
  expect(failures([], [], 1)).toEqual(['cold-starts-held']);
});

test('wrong answer', () => {
  expect(failures([record('a', '', { kind: 'wrong', detail: 'other text' })], [])).toEqual(['answers-own-and-whole']);
});
