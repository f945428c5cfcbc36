import { measureCost } from '@dandelionlane/membership/experiments';
import DESIGN_SIZE from '../DESIGN_SIZE.js';
import type MeasuredItem from '../MeasuredItem.js';

const SECONDS = 60;
const TODAY_ENTRIES = 9;

/** Cost of membership and dissemination at rest, over in-memory links. */
const membershipItem: MeasuredItem = {
  name: 'Membership',
  async measure() {
    // The first run brings the code to full speed and is not counted.
    measureCost('membership', TODAY_ENTRIES, 1, SECONDS);
    const today = measureCost('membership', TODAY_ENTRIES, 1, SECONDS);
    const fleet = measureCost('membership', DESIGN_SIZE.entries, DESIGN_SIZE.regions, SECONDS);
    return [
      { name: 'membership.today.messages', value: today.messagesPerSecond, unit: '1/s' },
      { name: 'membership.today.bytes', value: today.bytesPerSecond, unit: 'B/s' },
      { name: 'membership.today.processor', value: today.microsecondsPerSecond, unit: 'us/s' },
      { name: 'membership.fleet.messages', value: fleet.messagesPerSecond, unit: '1/s' },
      { name: 'membership.fleet.bytes', value: fleet.bytesPerSecond, unit: 'B/s' },
      { name: 'membership.fleet.processor', value: fleet.microsecondsPerSecond, unit: 'us/s' },
      { name: 'membership.fleet.storeReads', value: fleet.storeReadsPerSecond, unit: '1/s' },
    ];
  },
};

export default membershipItem;
