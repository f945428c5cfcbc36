/** Public surface of the package. */
export { default as parseSettings } from './lib/parseSettings.js';
export { default as readSettings } from './lib/readSettings.js';
