/** What the capacity measurements use of the experiments. */
export { type default as Cost } from './Cost.js';
export { default as createEntryRecord } from './createEntryRecord.js';
export { default as measureCost } from './measureCost.js';
