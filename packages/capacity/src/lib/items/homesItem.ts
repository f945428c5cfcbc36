import { ServiceId } from '@dandelionlane/core';
import { chooseHomes } from '@dandelionlane/membership';
import { createEntryRecord } from '@dandelionlane/membership/experiments';
import DESIGN_SIZE from '../DESIGN_SIZE.js';
import type MeasuredItem from '../MeasuredItem.js';
import timeOperation from '../timeOperation.js';

/** Choice of the homes of one service in a region of the size to design for. */
const homesItem: MeasuredItem = {
  name: 'Homes',
  async measure() {
    const entries = Array.from({ length: DESIGN_SIZE.entriesPerRegion }, (_, number) => (
      createEntryRecord(1, number, 1)
    ));
    const service = ServiceId.parse('permit-assistant-17');
    return [{
      name: 'homes.perService',
      value: timeOperation(() => chooseHomes(service, entries, DESIGN_SIZE.homesPerService)),
      unit: 'us',
    }];
  },
};

export default homesItem;
