/** Public surface of the package. */
export { default as ControllerSettings } from './lib/settings/ControllerSettings.js';
export { type default as RunningController } from './lib/RunningController.js';
export { default as startController } from './lib/startController.js';
