import { Allocation } from '@dandelionlane/core';
import type MeasuredItem from '../MeasuredItem.js';
import timeOperation from '../timeOperation.js';

/** Encoding, decoding and check of one allocation row. */
const allocationRowItem: MeasuredItem = {
  name: 'Allocation row',
  async measure() {
    const encoded = JSON.stringify({
      vm: 'vm-region-3-417',
      replica: 'replica-region-3-104-k3x9',
      service: 'permit-assistant-104',
      fencing: 4_211,
    });
    return [
      { name: 'allocationRow.bytes', value: Buffer.byteLength(encoded), unit: 'B' },
      {
        name: 'allocationRow.decodeAndCheck',
        value: timeOperation(() => Allocation.parse(JSON.parse(encoded))),
        unit: 'us',
      },
    ];
  },
};

export default allocationRowItem;
