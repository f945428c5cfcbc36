import type FleetSettings from '../test/FleetSettings.js';

const speeds = {
  acceleratorsPerVM: 4,
  loadMilliseconds: 60_000,
  storeStreams: 32,
  startMilliseconds: 15_000,
  warmUpMilliseconds: 30_000,
  drainMilliseconds: 20_000,
  orderDelayMilliseconds: 500,
};

/** Fleets of the experiments, keyed by their number of VMs with accelerators. */
const FLEETS = {
  66: {
    ...speeds, zones: 3, domainsPerZone: 2, vmsPerDomain: 11, plainVMsPerZone: 1,
  },
  330: {
    ...speeds, zones: 3, domainsPerZone: 5, vmsPerDomain: 22, plainVMsPerZone: 2,
  },
  1089: {
    ...speeds, zones: 3, domainsPerZone: 33, vmsPerDomain: 11, plainVMsPerZone: 4,
  },
  3993: {
    ...speeds, zones: 3, domainsPerZone: 121, vmsPerDomain: 11, plainVMsPerZone: 8,
  },
  11979: {
    ...speeds, zones: 3, domainsPerZone: 363, vmsPerDomain: 11, plainVMsPerZone: 16,
  },
} as const satisfies Record<number, FleetSettings>;

export default FLEETS;
