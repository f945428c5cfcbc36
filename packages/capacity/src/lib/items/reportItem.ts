import { VMReport } from '@dandelionlane/core';
import createReport from '../createReport.js';
import type MeasuredItem from '../MeasuredItem.js';
import timeOperation from '../timeOperation.js';

/** Encoding, decoding and check of one VM report. */
const reportItem: MeasuredItem = {
  name: 'VM report',
  async measure() {
    const report = createReport(1);
    const encoded = JSON.stringify(report);
    return [
      { name: 'report.bytes', value: Buffer.byteLength(encoded), unit: 'B' },
      { name: 'report.encode', value: timeOperation(() => JSON.stringify(report)), unit: 'us' },
      {
        name: 'report.decodeAndCheck',
        value: timeOperation(() => VMReport.parse(JSON.parse(encoded))),
        unit: 'us',
      },
    ];
  },
};

export default reportItem;
