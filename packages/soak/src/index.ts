/** Public surface of the package. */
export { type default as SoakOptions } from './lib/SoakOptions.js';
export { type default as SoakReport } from './lib/SoakReport.js';
export { default as runSoak } from './lib/runSoak.js';
