/** Public surface of the package. */
export { default as parseSettings } from './lib/parseSettings.js';
export { default as readSettings } from './lib/readSettings.js';
export { type default as ServiceProcessOptions } from './lib/ServiceProcessOptions.js';
export { default as runServiceProcess } from './lib/runServiceProcess.js';
export { type default as ServiceProcess } from './lib/ServiceProcess.js';
