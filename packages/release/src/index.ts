/** Public surface of the package. */
export { default as applyRecord } from './lib/applyRecord.js';
export { default as chooseNewerState } from './lib/chooseNewerState.js';
export { default as diffReleaseNote } from './lib/diffReleaseNote.js';
export { type default as FieldDifference } from './lib/FieldDifference.js';
export { default as findRepeatedNames } from './lib/findRepeatedNames.js';
export { default as formatDifferences } from './lib/formatDifferences.js';
export { default as parseReleaseNote } from './lib/parseReleaseNote.js';
export { default as parseReleaseNoteDraft } from './lib/parseReleaseNoteDraft.js';
export { type default as ReleaseDifference } from './lib/ReleaseDifference.js';
export { default as ReleaseNoteDraft } from './lib/ReleaseNoteDraft.js';
export { default as RETAINED_SEQUENCES } from './lib/RETAINED_SEQUENCES.js';
export { default as validateChange } from './lib/validateChange.js';
