import { expect, test } from 'vitest';
import type CallerOutcome from '../lib/journal/CallerOutcome.js';
import type DisturbedPart from '../lib/journal/DisturbedPart.js';
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
    overLink: false,
    sentAt: 10_000,
    deadlineMilliseconds: 1_000,
    outcome,
    ...other,
  };
}

function run(other: Partial<WorkerRun> = {}): WorkerRun {
  return {
    requestId: 'r1',
    worker: 'w',
    signature: 's',
    body: 'b',
    team: 'team-a',
    startedAt: 10_010,
    answeredAt: null,
    brokenAt: null,
    abandonedAt: null,
    ...other,
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
  expect(broken(sent(answered(200, 'answer', false)), [run({ brokenAt: 10_050 })])).toEqual([]);
  expect(broken(sent(answered(200, 'other', false)), [run({ brokenAt: 10_050 })])).toEqual(['mixed']);
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
  const late: CallerOutcome = { kind: 'disconnected', read: true, endedAt: 11_600 };
  expect(broken(sent(late), [])).toEqual(['held']);
  const disturbed = new SoakJournal();
  disturbed.disturbed(6_500, [{ kind: 'other' }])(6_600);
  expect(broken(sent(late), [], disturbed)).toEqual([]);
});

test('a request to a worker that left counts only in calm', () => {
  const journal = new SoakJournal();
  journal.drainedAt.set('w', 6_000);
  expect(broken(sent(answered(200)), [run()], journal)).toEqual(['drain']);
  const disturbed = new SoakJournal();
  disturbed.drainedAt.set('w', 6_000);
  disturbed.disturbed(8_000, [{ kind: 'other' }])(8_100);
  expect(broken(sent(answered(200)), [run()], disturbed)).toEqual([]);
});

/** Ends without an answer, half a second after it was sent. */
function ended(other: Partial<Extract<CallerOutcome, { kind: 'disconnected' }>> = {}): CallerOutcome {
  return {
    kind: 'disconnected', read: true, endedAt: 10_500, ...other,
  };
}

function createDisturbed(part: DisturbedPart, from = 10_200, to = 10_300): SoakJournal {
  const journal = new SoakJournal();
  journal.disturbed(from, [part])(to);
  return journal;
}

/** Journal of a stop of the entry `e`, with a grace period of 6 s. */
function stopped(at: number, goneAt = at + 6_000): SoakJournal {
  const journal = new SoakJournal();
  journal.stops.push({
    entry: 'e', at, graceMilliseconds: 6_000, goneAt,
  });
  return journal;
}

test('a request that has run and ends without an answer is lost', () => {
  expect(broken(sent(ended()), [run()])).toEqual(['lost']);
  expect(broken(sent(ended({ read: false, endedAt: 10_050 })), [run()])).toEqual(['lost']);
  expect(broken(sent(answered(502)), [run()])).toEqual([]);
});

test('a request that was read and ends without an answer is lost after a while', () => {
  expect(broken(sent(ended()), [])).toEqual(['lost']);
  expect(broken(sent(ended({ endedAt: 10_200 })), [])).toEqual([]);
});

test('a request that ends unread is refused, not lost', () => {
  expect(broken(sent(ended({ read: false })), [])).toEqual([]);
});

test('a stream of status 200 that is cut is lost', () => {
  const stream = { kind: 'stream', events: 3 } as const;
  const body = expectedBody(sent(null, stream)).slice(0, 20);
  expect(broken(sent(answered(200, body, false), stream), [run()])).toEqual(['lost']);
  expect(broken(sent(answered(502, '', false), stream), [])).toEqual(['lost']);
});

test('a request that reached its deadline is not lost', () => {
  expect(broken(sent(ended({ endedAt: 11_000 })), [run()])).toEqual([]);
  expect(broken(sent(ended({ endedAt: 10_990 })), [run()])).toEqual(['lost']);
  expect(broken(sent({ kind: 'left', endedAt: 11_400 }), [run()])).toEqual([]);
});

test('a fault of its own entry excuses a lost request', () => {
  expect(broken(sent(ended()), [run()], createDisturbed({ kind: 'entry', entry: 'e' }))).toEqual([]);
  expect(broken(sent(ended()), [run()], createDisturbed({ kind: 'entry', entry: 'f' }))).toEqual(['lost']);
  expect(broken(sent(ended()), [run()], createDisturbed({ kind: 'entry', entry: 'e' }, 9_000, 9_900))).toEqual(['lost']);
  expect(broken(sent(ended()), [run()], createDisturbed({ kind: 'entry', entry: 'e' }, 10_600, 10_700))).toEqual(['lost']);
});

test('a cut link of callers excuses only requests that went over it', () => {
  const link = { kind: 'caller-link', entry: 'e' } as const;
  expect(broken(sent(ended(), { overLink: true }), [run()], createDisturbed(link))).toEqual([]);
  expect(broken(sent(ended()), [run()], createDisturbed(link))).toEqual(['lost']);
  const other = createDisturbed({ kind: 'caller-link', entry: 'f' });
  expect(broken(sent(ended(), { overLink: true }), [run()], other)).toEqual(['lost']);
});

test('a worker that breaks off excuses a lost request, if it ran it last', () => {
  const broke = run({ brokenAt: 10_400 });
  const later = run({ worker: 'v', startedAt: 10_410 });
  const safe = sent(ended(), { kind: 'safe' });
  expect(broken(safe, [broke])).toEqual([]);
  expect(broken(safe, [broke, later])).toEqual(['lost']);
  expect(broken(safe, [run({ brokenAt: 10_501 })])).toEqual(['lost']);
});

// Guards against a loss that is found although the worker which served the stream broke off.
test('a run that its entry has left before the end does not count as the last', () => {
  const broke = run({ brokenAt: 10_400 });
  const left = run({ worker: 'v', startedAt: 10_300, abandonedAt: 10_310 });
  const safe = sent(ended(), { kind: 'safe' });
  expect(broken(safe, [broke, left])).toEqual([]);
  expect(broken(safe, [run(), left])).toEqual(['lost']);
  expect(broken(safe, [left])).toEqual(['lost']);
  expect(broken(safe, [broke, run({ ...left, abandonedAt: 10_501 })])).toEqual(['lost']);
  expect(broken(safe, [broke, run({ ...left, startedAt: 10_600, abandonedAt: 10_610 })])).toEqual([]);
});

test.each(['worker', 'worker-link'] as const)('a disturbed %s excuses a lost request, if it ran it last', (kind) => {
  const first = run();
  const later = run({ worker: 'v', startedAt: 10_250 });
  const safe = sent(ended(), { kind: 'safe' });
  expect(broken(safe, [first], createDisturbed({ kind, worker: 'w' }))).toEqual([]);
  expect(broken(safe, [first, later], createDisturbed({ kind, worker: 'w' }))).toEqual(['lost']);
  expect(broken(safe, [first, later], createDisturbed({ kind, worker: 'v' }))).toEqual([]);
  expect(broken(safe, [first], createDisturbed({ kind, worker: 'w' }, 9_000, 10_005))).toEqual(['lost']);
});

test('other faults excuse no lost request', () => {
  expect(broken(sent(ended()), [run()], createDisturbed({ kind: 'other' }))).toEqual(['lost']);
});

test('a planned stop excuses a lost request only at the end of the grace period', () => {
  const early = { sentAt: 10_000, deadlineMilliseconds: 20_000 };
  const late = (endedAt: number) => sent(ended({ endedAt }), early);
  expect(broken(late(12_990), [run()], stopped(8_000))).toEqual(['lost']);
  expect(broken(late(13_010), [run()], stopped(8_000))).toEqual([]);
  expect(broken(late(13_010), [run()], stopped(6_990))).toEqual(['lost']);
  expect(broken(late(13_010), [run({ answeredAt: 12_000 })], stopped(8_000))).toEqual(['lost']);
  expect(broken(late(13_010), [run({ answeredAt: 13_005 })], stopped(8_000))).toEqual([]);
  expect(broken(late(13_010), [], stopped(8_000))).toEqual(['lost']);
});

test('a request that was sent after a stop is not excused by it', () => {
  const request = sent(ended({ endedAt: 13_010 }), { deadlineMilliseconds: 20_000 });
  expect(broken(request, [run()], stopped(8_000, 9_000))).toEqual(['lost']);
});

test('a late request that the end of a stop cuts is lost', () => {
  const journal = stopped(5_600, 10_500);
  expect(broken(sent(ended()), [run()], journal)).toEqual(['lost']);
  expect(findViolations(journal)[0]?.detail).toContain('4900 ms after SIGTERM');
});
