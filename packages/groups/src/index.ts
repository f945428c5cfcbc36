/** Public surface of the package. */
export { default as GroupController } from './lib/control/GroupController.js';
export { default as GroupRecord } from './lib/plan/GroupRecord.js';
export { default as FleetObservation } from './lib/observation/FleetObservation.js';
export { type default as ObservedWorker } from './lib/observation/ObservedWorker.js';
export { default as planGroups } from './lib/plan/planGroups.js';
export { type default as GroupStep } from './lib/plan/GroupStep.js';
