/** Public surface of the package. */
export { default as EntryStatus } from './lib/EntryStatus.js';
export { default as FleetState } from './lib/FleetState.js';
export { default as HolderMessage } from './lib/HolderMessage.js';
export { default as LinkClient } from './lib/LinkClient.js';
export { default as LinkServer } from './lib/LinkServer.js';
export { default as decodeMessage } from './lib/decodeMessage.js';
export { default as findAbsentTargets } from './lib/findAbsentTargets.js';
export { default as findProgressingFormations } from './lib/findProgressingFormations.js';
export { default as findStalledFormations } from './lib/findStalledFormations.js';
export { default as isHolderUndersized } from './lib/isHolderUndersized.js';
export { default as canOthersReachStore } from './lib/canOthersReachStore.js';
export { default as sumLoads } from './lib/sumLoads.js';
export { default as sumRequests } from './lib/sumRequests.js';
export { default as sumTraffic } from './lib/sumTraffic.js';
