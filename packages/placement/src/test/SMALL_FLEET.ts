import type FleetSettings from './FleetSettings.js';

/** Three zones, each with two domains of five VMs and one plain VM. */
const SMALL_FLEET: FleetSettings = {
  zones: 3,
  domainsPerZone: 2,
  vmsPerDomain: 5,
  acceleratorsPerVM: 4,
  plainVMsPerZone: 1,
  loadMilliseconds: 20_000,
  storeStreams: 8,
  startMilliseconds: 5_000,
  warmUpMilliseconds: 10_000,
  drainMilliseconds: 3_000,
  orderDelayMilliseconds: 1_000,
};

export default SMALL_FLEET;
