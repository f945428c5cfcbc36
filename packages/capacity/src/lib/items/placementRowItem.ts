import { ServicePlacement } from '@dandelionlane/core';
import createPlacement from '../createPlacement.js';
import type MeasuredItem from '../MeasuredItem.js';
import timeOperation from '../timeOperation.js';

/** Encoding, decoding and check of one placement row. */
const placementRowItem: MeasuredItem = {
  name: 'Placement row',
  async measure() {
    const row = createPlacement(1);
    const encoded = JSON.stringify(row);
    return [
      { name: 'placementRow.bytes', value: Buffer.byteLength(encoded), unit: 'B' },
      { name: 'placementRow.encode', value: timeOperation(() => JSON.stringify(row)), unit: 'us' },
      {
        name: 'placementRow.decodeAndCheck',
        value: timeOperation(() => ServicePlacement.parse(JSON.parse(encoded))),
        unit: 'us',
      },
    ];
  },
};

export default placementRowItem;
