import type EntryGroup from '../peers/EntryGroup.js';
import type ReleaseTracker from '../release/ReleaseTracker.js';
import type AdmissionControl from '../requests/AdmissionControl.js';
import type TargetTable from '../targets/TargetTable.js';

/** The components of an entry that serve requests. */
export default interface EntryComponents {
  readonly release: ReleaseTracker;
  readonly group: EntryGroup;
  readonly targets: TargetTable;
  readonly admission: AdmissionControl;
}
