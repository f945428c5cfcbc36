/** Public surface of the package. */
export { type default as PlannedCall } from './lib/arrivals/PlannedCall.js';
export { default as planCalls } from './lib/arrivals/planCalls.js';
export { type default as CallOutcome } from './lib/callers/CallOutcome.js';
export { type default as CallRecord } from './lib/recorder/CallRecord.js';
export { default as Recorder } from './lib/recorder/Recorder.js';
export { type default as CheckResult } from './lib/reconcile/CheckResult.js';
export { default as reconcile } from './lib/reconcile/reconcile.js';
export { type default as LoadReport } from './lib/reports/LoadReport.js';
export { default as renderHTML } from './lib/reports/renderHTML.js';
export { default as renderText } from './lib/reports/renderText.js';
export { default as writeReports } from './lib/reports/writeReports.js';
export { default as runLoad } from './lib/runLoad.js';
export { default as LoadSettings } from './lib/settings/LoadSettings.js';
export { default as TrafficSettings } from './lib/settings/TrafficSettings.js';
