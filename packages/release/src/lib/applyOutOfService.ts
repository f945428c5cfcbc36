import type { OutOfService, ReleaseState } from '@dandelionlane/core';
import replaceRows from './replaceRows.js';

type Lists = Pick<ReleaseState, 'availabilityZonesOut' | 'vmsOut'>;

function setMembership<Id extends string>(ids: readonly Id[], id: Id, isOut: boolean): Id[] {
  return replaceRows(ids, new Set([id]), isOut ? [id] : [], (member) => member);
}

/** Lists of the zones and VMs out of service after a take-out (`isOut`) or a bring-back. */
export default function applyOutOfService(
  { availabilityZonesOut, vmsOut }: Lists,
  subject: OutOfService,
  isOut: boolean,
): Lists {
  switch (subject.kind) {
    case 'availability-zone':
      return {
        availabilityZonesOut: setMembership(availabilityZonesOut, subject.availabilityZone, isOut), vmsOut,
      };
    case 'vm':
      return { availabilityZonesOut, vmsOut: setMembership(vmsOut, subject.vm, isOut) };
    default:
      return subject satisfies never;
  }
}
