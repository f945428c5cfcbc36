import type SoakJournal from './SoakJournal.js';
import type Violation from './Violation.js';

/** Memory of the users' entry VMs, in MB. */
const MAXIMUM_MEGABYTES = 350;

/** Entries whose memory at its peak was more than their VMs have. */
export default function checkMemory(journal: SoakJournal): readonly Violation[] {
  return [...journal.peakMegabytes].filter(([, megabytes]) => megabytes > MAXIMUM_MEGABYTES)
    .map(([entry, megabytes]) => ({
      promise: 'memory', detail: `${entry} took ${Math.round(megabytes)} MB at its peak`, timed: false,
    }));
}
