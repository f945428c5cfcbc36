import type { JournalDocument } from '@dandelionlane/standin';
import type CallRecord from '../recorder/CallRecord.js';
import checkAnswers from './checkAnswers.js';
import checkColdStarts from './checkColdStarts.js';
import checkKeys from './checkKeys.js';
import checkNotRun from './checkNotRun.js';
import type CheckResult from './CheckResult.js';
import checkSuccesses from './checkSuccesses.js';
import RunIndex from './RunIndex.js';

/** The targets' journals before and after a run. */
interface JournalPair {
  readonly before: JournalDocument;
  readonly after: JournalDocument;
}

/** Compares what callers were told with what ran. Without journals only the answers are checked. */
export default function reconcile(
  records: readonly CallRecord[],
  journals: JournalPair | undefined,
): readonly CheckResult[] {
  const answers = checkAnswers(records);
  if (journals === undefined) {
    return [answers];
  }
  const runs = new RunIndex(journals.after.runs, records);
  return [
    answers,
    checkNotRun(records, runs),
    checkKeys(records, runs),
    checkSuccesses(records, runs),
    checkColdStarts(journals.before, journals.after),
  ];
}
