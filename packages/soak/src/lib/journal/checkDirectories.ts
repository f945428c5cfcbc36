import type SoakJournal from './SoakJournal.js';
import type Violation from './Violation.js';

/** Time after its end from which no directory may name an entry, in ms: the users' bound. */
const LISTED_MILLISECONDS = 6_000;

/** Time without a disturbance of the answering entry or of the store from which answers count, in ms. */
const STABLE_MILLISECONDS = 3_000;

const ALLOWED_ANSWERS = 3;

/** Answers of directories that name an entry that is gone, beside one that runs. */
export default function checkDirectories(journal: SoakJournal): readonly Violation[] {
  const naming = journal.directoryAnswers.filter(({ entry, at, addresses }) => {
    const gone = journal.goneEntries.filter(({ from, to }) => from <= at && to >= at);
    const isGone = (address: string) => gone.some((one) => one.address === address);
    const names = gone.some(({ address, from }) => (
      addresses.includes(address) && at > from + LISTED_MILLISECONDS
    ));
    return names && !addresses.every(isGone)
      && !journal.disturbedParts(at - STABLE_MILLISECONDS, at).some((part) => (
        part.kind === 'store' || (part.kind === 'entry' && part.entry === entry)
      ));
  });
  const [first] = naming;
  return first === undefined || naming.length <= ALLOWED_ANSWERS ? [] : [{
    promise: 'directory',
    detail: `${naming.length} answers of directories named an entry that was gone, first that of ${first.entry}`,
    timed: true,
  }];
}
