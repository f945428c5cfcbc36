import { expect, test } from 'vitest';
import explainRequest from '../lib/explain/explainRequest.js';
import parseLog from '../lib/explain/parseLog.js';

const START = Date.UTC(2026, 0, 1, 12);

function line(milliseconds: number, part: string, message: string, fields: object = {}): string {
  const at = new Date(START + milliseconds).toISOString();
  return JSON.stringify({
    at, level: 'info', part, message, ...fields,
  });
}

const SERVING_LOG = [
  line(0, 'entry', 'Entry started.', { entry: 'a' }),
  line(9_900, 'requests', 'Request ended.', {
    request: 'r1',
    outcome: 'answered',
    milliseconds: 900,
    model: 'm',
    attempts: 'w1@g1/7 load=2.0/3 broken (target stands still) events=0 450ms; w2@g2/8 load=1.0/2 complete events=4 450ms',
  }),
  line(9_950, 'requests', 'Request ended.', {
    request: 'r2', outcome: 'overloaded', status: 429, milliseconds: 100, model: 'm',
  }),
].join('\n');

const HOLDER_LOG = [
  line(9_600, 'groups', 'Worker is silent.', { worker: 'w7', group: 'g1' }),
  line(9_650, 'groups', 'Group planned.', { group: 'g1', model: 'm', reason: 'members-lost' }),
  line(9_700, 'groups', 'Order sent.', { worker: 'w9', group: 'g9', order: 'open' }),
  line(9_750, 'store', 'Store lost.', { table: 'op' }),
].join('\n');

const RECORDS = [...parseLog(SERVING_LOG, 'a.log'), ...parseLog(HOLDER_LOG, 'b.log')];

test('request with its attempts and related changes', () => {
  const lines = explainRequest(RECORDS, 'r1');
  expect(lines[0]).toBe('2026-01-01T12:00:09.000Z a.log: outcome=answered milliseconds=900 model=m');
  expect(lines.filter((text) => text.startsWith('  attempt'))).toHaveLength(2);
  expect(lines.slice(4)).toEqual([
    '     0.600 b.log [groups] Worker is silent. worker=w7 group=g1',
    '     0.650 b.log [groups] Group planned. group=g1 model=m reason=members-lost',
  ]);
});

test('refusal without attempts lists the groups of its model', () => {
  expect(explainRequest(RECORDS, 'r2').join('\n')).toContain('Group planned. group=g1 model=m');
});

test('every reason for giving up the lease is listed for any request', () => {
  const leaseGivenUp = ['The store serves others only', 'A stronger entry is linked', 'A worker has seen a later term']
    .map((reason) => line(9_400, 'links', `${reason}, giving the lease up.`)).join('\n');
  const lines = explainRequest([...RECORDS, ...parseLog(leaseGivenUp, 'b.log')], 'r1');
  expect(lines.filter((text) => text.includes('giving the lease up'))).toHaveLength(3);
});

test('unknown request has no explanation', () => {
  expect(explainRequest(RECORDS, 'r3')).toEqual([]);
});

test('missing logs and dropped lines are reported', () => {
  expect(explainRequest(parseLog(SERVING_LOG, 'a.log'), 'r1').join('\n')).toContain('no line of the holder');
  const dropped = parseLog(line(9_500, 'telemetry', 'Log lines were dropped.', { lines: 3 }), 'a.log');
  expect(explainRequest([...RECORDS, ...dropped], 'r1').join('\n')).toContain('lines were dropped near it');
});

test('process name comes from the word before a line, other lines are skipped', () => {
  const text = ['started', '{"at":', `12.5 entry-3 ${line(0, 'entry', 'Entry started.')}`, '{"a":1}'].join('\n');
  expect(parseLog(text, 'all.log').map(({ source }) => source)).toEqual(['entry-3']);
});
