import type EntryGroup from '../peers/EntryGroup.js';
import type ReleaseHolder from '../release/ReleaseHolder.js';
import type AdmissionDesk from '../requests/AdmissionDesk.js';
import type TargetTable from '../targets/TargetTable.js';

/** The parts of an entry that requests are served by. */
export default interface EntryParts {
  readonly release: ReleaseHolder;
  readonly group: EntryGroup;
  readonly targets: TargetTable;
  readonly admission: AdmissionDesk;
}
