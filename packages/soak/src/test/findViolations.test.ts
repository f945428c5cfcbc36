import { expect, test } from 'vitest';
import type CallerOutcome from '../lib/journal/CallerOutcome.js';
import type SentRequest from '../lib/journal/SentRequest.js';
import SoakJournal from '../lib/journal/SoakJournal.js';
import type WorkerRun from '../lib/journal/WorkerRun.js';
import expectedBody from '../lib/journal/expectedBody.js';
import findViolations from '../lib/journal/findViolations.js';

function sent(outcome: CallerOutcome | null, other: Partial<SentRequest> = {}): SentRequest {
  return {
    id: 'r1',
    kind: 'once',
    body: 'b',
    events: 0,
    entry: 'e',
    sentAt: 10_000,
    deadlineMilliseconds: 1_000,
    outcome,
    ...other,
  };
}

function run(other: Partial<WorkerRun> = {}): WorkerRun {
  return {
    requestId: 'r1', worker: 'w', signature: 's', body: 'b', team: 'team-a', startedAt: 10_010, ...other,
  };
}

function answered(status: number, body = expectedBody(sent(null)), whole = true): CallerOutcome {
  return {
    kind: 'answered', status, signature: 's', body, whole, endedAt: 10_100,
  };
}

function broken(request: SentRequest, runs: readonly WorkerRun[], journal = new SoakJournal()) {
  journal.requests.set(request.id, request);
  journal.runs.push(...runs);
  return findViolations(journal).map(({ promise }) => promise);
}

test('a run with its own answer breaks nothing', () => {
  expect(broken(sent(answered(200)), [run()])).toEqual([]);
});

test('a second run of a request that may run once is found', () => {
  expect(broken(sent(answered(502)), [run(), run()])).toEqual(['twice']);
});

test('a refusal of a request that has run is found', () => {
  expect(broken(sent(answered(503)), [run()])).toEqual(['refused']);
  expect(broken(sent(answered(502)), [run()])).toEqual([]);
});

test('a success without a run of its own is found', () => {
  expect(broken(sent(answered(200)), [run({ signature: 'other' })])).toEqual(['mixed']);
});

test('a cut body that looks whole is found', () => {
  expect(broken(sent(answered(200, 'answer')), [run()])).toEqual(['mixed']);
  expect(broken(sent(answered(200, 'answer', false)), [run()])).toEqual([]);
});

test('a stream with a missing event is found', () => {
  const stream = { kind: 'stream', events: 3 } as const;
  const body = expectedBody(sent(null, stream));
  expect(broken(sent(answered(200, body), stream), [run(), run({ signature: 't' })])).toEqual([]);
  expect(broken(sent(answered(200, body.slice(20)), stream), [run()])).toEqual(['order']);
});

test('a run that nobody asked for, or for another team, is found', () => {
  expect(broken(sent(answered(200)), [run(), run({ requestId: 'r2' })])).toEqual(['unasked']);
  expect(broken(sent(answered(200)), [run({ team: null })])).toEqual(['unasked']);
});

test('an answer after the deadline counts only in calm', () => {
  const late: CallerOutcome = { kind: 'disconnected', endedAt: 11_600 };
  expect(broken(sent(late), [])).toEqual(['held']);
  const disturbed = new SoakJournal();
  disturbed.disturbed(6_500)(6_600);
  expect(broken(sent(late), [], disturbed)).toEqual([]);
});

test('a request to a worker that left counts only in calm', () => {
  const journal = new SoakJournal();
  journal.drainedAt.set('w', 6_000);
  expect(broken(sent(answered(200)), [run()], journal)).toEqual(['drain']);
  const disturbed = new SoakJournal();
  disturbed.drainedAt.set('w', 6_000);
  disturbed.disturbed(8_000)(8_100);
  expect(broken(sent(answered(200)), [run()], disturbed)).toEqual([]);
});
