import createLoad from './createLoad.js';
import type Load from './Load.js';

/** The loads of a role together. */
export default function sumLoads(loads: readonly Load[]): Load {
  return loads.reduce((sum, load) => ({
    mechanism: sum.mechanism,
    messagesPerSecond: sum.messagesPerSecond + load.messagesPerSecond,
    bytesPerSecond: sum.bytesPerSecond + load.bytesPerSecond,
    microsecondsPerSecond: sum.microsecondsPerSecond + load.microsecondsPerSecond,
    memoryBytes: sum.memoryBytes + load.memoryBytes,
    storeReadsPerSecond: sum.storeReadsPerSecond + load.storeReadsPerSecond,
    storeWritesPerSecond: sum.storeWritesPerSecond + load.storeWritesPerSecond,
  }), createLoad('all', {}));
}
