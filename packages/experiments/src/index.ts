/** Public surface of the package. */
export { type default as DataPathPlan } from './lib/DataPathPlan.js';
export { default as measureDataPath } from './lib/measureDataPath.js';
