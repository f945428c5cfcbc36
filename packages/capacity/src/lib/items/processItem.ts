import type MeasuredItem from '../MeasuredItem.js';
import readMemory from '../readMemory.js';

/** This process as it stands: the baseline over which control state is counted. */
const processItem: MeasuredItem = {
  name: 'Process',
  async measure() {
    return [
      { name: 'process.resident', value: process.memoryUsage().rss, unit: 'B' },
      { name: 'process.heapAndExternal', value: readMemory(), unit: 'B' },
    ];
  },
};

export default processItem;
