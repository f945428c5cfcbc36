import { EntryRecord, ReleaseSequence } from '@dandelionlane/core';
import { createEntryRecord } from '@dandelionlane/membership/experiments';
import type MeasuredItem from '../MeasuredItem.js';
import measureMemory from '../measureMemory.js';

const MEMBERS = 5_000;

/** Memory of one member in an entry's view. */
const memberTableItem: MeasuredItem = {
  name: 'Member table',
  async measure() {
    return [{
      name: 'memberTable.perMember',
      value: measureMemory(MEMBERS, (number) => ({
        update: {
          entry: EntryRecord.parse(JSON.parse(JSON.stringify(createEntryRecord(1, number, 1)))),
          refutation: 0,
          liveness: 'alive',
          leaving: false,
        },
        sequenceInForce: ReleaseSequence.parse(number),
        changedAtMilliseconds: number,
      })),
      unit: 'B',
    }];
  },
};

export default memberTableItem;
