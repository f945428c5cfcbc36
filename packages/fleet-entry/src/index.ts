/** Public surface of the package. */
export { type default as FleetEntryPorts } from './lib/FleetEntryPorts.js';
export { type default as FleetEntrySettings } from './lib/FleetEntrySettings.js';
export { default as startFleetEntry } from './lib/startFleetEntry.js';
