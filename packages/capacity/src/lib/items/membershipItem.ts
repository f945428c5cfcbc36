import { measureCost } from '@dandelionlane/membership/experiments';
import DESIGN_SIZE from '../DESIGN_SIZE.js';
import type MeasuredItem from '../MeasuredItem.js';

const SECONDS = 60;
const TODAY_ENTRIES = 9;
/** What an entry's settings have by default. */
const PROBE_PERIOD_MILLISECONDS = 500;

const TODAY = {
  variant: 'membership',
  entries: TODAY_ENTRIES,
  regions: 1,
  seconds: SECONDS,
  probePeriodMilliseconds: PROBE_PERIOD_MILLISECONDS,
} as const;

/** Cost of membership and dissemination at rest, over in-memory links. */
const membershipItem: MeasuredItem = {
  name: 'Membership',
  async measure() {
    // The first run brings the code to full speed and is not counted.
    measureCost(TODAY);
    const today = measureCost(TODAY);
    const fleet = measureCost({ ...TODAY, entries: DESIGN_SIZE.entries, regions: DESIGN_SIZE.regions });
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
