/** Exports for the capacity measurements. */
export { type default as Cost } from './Cost.js';
export { default as createEntryRecord } from './createEntryRecord.js';
export { default as measureCost } from './measureCost.js';
