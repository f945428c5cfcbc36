import { VMRecord } from '@dandelionlane/core';
import FakeVM from './FakeVM.js';
import type FleetSettings from './FleetSettings.js';

function createRecord(zone: number, domain: string, name: string, accelerators: number): VMRecord {
  return VMRecord.parse({
    vm: `vm-${domain}-${name}`,
    availabilityZone: `zone-${zone}`,
    fabricDomain: `domain-${domain}`,
    accelerators,
    address: '10.0.0.1:80',
    state: 'live',
  });
}

/** Creates the VMs of a fleet, all up and empty. */
export default function createFakeVMs(settings: FleetSettings): FakeVM[] {
  const records: VMRecord[] = [];
  for (let zone = 0; zone < settings.zones; zone += 1) {
    for (let domain = 0; domain < settings.domainsPerZone; domain += 1) {
      const name = `${zone}-${String(domain).padStart(3, '0')}`;
      for (let index = 0; index < settings.vmsPerDomain; index += 1) {
        records.push(createRecord(zone, name, String(index).padStart(3, '0'), settings.acceleratorsPerVM));
      }
    }
    for (let index = 0; index < settings.plainVMsPerZone; index += 1) {
      records.push(createRecord(zone, `${zone}-000`, `plain-${index}`, 0));
    }
  }
  return records.map((record) => new FakeVM(record, settings));
}
