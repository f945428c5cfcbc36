/** Public surface of the package. */
export { default as createLog } from './lib/createLog.js';
export { default as LineWriter } from './lib/LineWriter.js';
export { type default as Log } from './lib/Log.js';
export { type default as LogFields } from './lib/LogFields.js';
export { default as LogSettings } from './lib/LogSettings.js';
export { default as logRoundFailure } from './lib/logRoundFailure.js';
export { default as createMetrics } from './lib/createMetrics.js';
export { type default as Metrics } from './lib/Metrics.js';
export { default as MetricsSettings } from './lib/MetricsSettings.js';
export { default as MetricsRegistry } from './lib/MetricsRegistry.js';
