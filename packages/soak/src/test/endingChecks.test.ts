import { expect, test } from 'vitest';
import RecordedRun from '../lib/journal/RecordedRun.js';
import SoakJournal from '../lib/journal/SoakJournal.js';
import checkAttempts from '../lib/journal/checkAttempts.js';
import checkDirectories from '../lib/journal/checkDirectories.js';
import checkMemory from '../lib/journal/checkMemory.js';

function createRuns(requests: number, workers: readonly string[]): SoakJournal {
  const journal = new SoakJournal();
  Array.from({ length: requests }, (_, request) => `r${request}`).forEach((requestId) => {
    workers.forEach((worker, index) => journal.runs.push(new RecordedRun({
      requestId, worker, signature: worker, body: '', team: null, startedAt: 10_000 + index,
    })));
  });
  return journal;
}

test('more than three requests on three workers are found', () => {
  expect(checkAttempts(createRuns(4, ['a', 'b', 'c']))).toMatchObject([{ promise: 'attempts' }]);
  expect(checkAttempts(createRuns(3, ['a', 'b', 'c']))).toEqual([]);
  expect(checkAttempts(createRuns(9, ['a', 'b', 'a']))).toEqual([]);
});

test('a worker that ended does not count', () => {
  const journal = createRuns(4, ['a', 'b', 'c']);
  journal.disturbed(9_500, [{ kind: 'worker', worker: 'b' }])(9_600);
  expect(checkAttempts(journal)).toEqual([]);
});

/** Answers of a directory that name an entry which is gone since 1 s. */
function createAnswers(answers: number, from = 8_000): SoakJournal {
  const journal = new SoakJournal();
  journal.goneEntries.push({ address: 'gone:1', from: 1_000, to: Number.POSITIVE_INFINITY });
  Array.from({ length: answers }, (_, index) => from + index)
    .forEach((at) => journal.directoryAnswers.push({ entry: 'a', at, addresses: ['a:1', 'gone:1'] }));
  return journal;
}

test('more than three answers that name an entry long gone are found', () => {
  expect(checkDirectories(createAnswers(4))).toMatchObject([{ promise: 'directory' }]);
  expect(checkDirectories(createAnswers(3))).toEqual([]);
  expect(checkDirectories(createAnswers(9, 5_000))).toEqual([]);
});

test('answers beside a disturbance of the store do not count', () => {
  const journal = createAnswers(9);
  journal.disturbed(7_000, [{ kind: 'store' }])(7_500);
  expect(checkDirectories(journal)).toEqual([]);
});

test('an entry that takes more memory than its VM has is found', () => {
  const journal = new SoakJournal();
  journal.peakMegabytes.set('a', 351).set('b', 349);
  expect(checkMemory(journal)).toMatchObject([{ promise: 'memory', detail: 'a took 351 MB at its peak' }]);
});
