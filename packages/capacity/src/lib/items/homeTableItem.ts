import { ServicePlacement, VMReport } from '@dandelionlane/core';
import createPlacement from '../createPlacement.js';
import createReport from '../createReport.js';
import type MeasuredItem from '../MeasuredItem.js';
import measureMemory from '../measureMemory.js';

const ROWS = 3_000;
const REPORTS = 12_000;

/** Memory of the tables that a home entry keeps. Parsed from text, so that no strings are shared. */
const homeTableItem: MeasuredItem = {
  name: 'Home tables',
  async measure() {
    return [
      {
        name: 'homeTable.perReplica',
        value: measureMemory(ROWS, (number) => (
          ServicePlacement.parse(JSON.parse(JSON.stringify(createPlacement(number))))
        )),
        unit: 'B',
      },
      {
        name: 'homeTable.perVM',
        value: measureMemory(REPORTS, (number) => ({
          receivedAtMilliseconds: number,
          report: VMReport.parse(JSON.parse(JSON.stringify(createReport(number)))),
        })),
        unit: 'B',
      },
    ];
  },
};

export default homeTableItem;
