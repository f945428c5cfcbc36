/** Public surface of the package. */
export { default as RepeatBudget } from './lib/choice/RepeatBudget.js';
export { default as EntryRegistry } from './lib/entries/EntryRegistry.js';
export { type default as KnownEntry } from './lib/entries/KnownEntry.js';
export { default as createDirectoryApplication } from './lib/entries/createDirectoryApplication.js';
export { default as createMetricsApplication } from './lib/entries/createMetricsApplication.js';
export { default as createReadinessApplication } from './lib/entries/createReadinessApplication.js';
export { type default as GatewayParts } from './lib/requests/GatewayParts.js';
export { default as RequestServer } from './lib/requests/RequestServer.js';
export { default as StallDetector } from './lib/targets/StallDetector.js';
export { default as TargetConnections } from './lib/targets/TargetConnections.js';
export { default as TargetStates } from './lib/targets/TargetStates.js';
export { type default as AnswerHead } from './lib/wire/AnswerHead.js';
export { type default as CallHeaders } from './lib/wire/CallHeaders.js';
export { type default as GatewayWire } from './lib/wire/GatewayWire.js';
export { type default as ReportedLoad } from './lib/wire/ReportedLoad.js';
export { type default as TargetCall } from './lib/wire/TargetCall.js';
