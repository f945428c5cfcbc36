import type { JournalDocument } from '@dandelionlane/standin';
import type CheckResult from './CheckResult.js';
import toCheckResult from './toCheckResult.js';

/** No target in cold start got more than it can bear during the run. */
export default function checkColdStarts(before: JournalDocument, after: JournalDocument): CheckResult {
  const fell = after.fellOver - before.fellOver;
  return toCheckResult('cold-starts-held', after.fellOver, fell > 0 ? [`${fell} targets fell over`] : []);
}
