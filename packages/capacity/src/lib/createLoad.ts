import type Load from './Load.js';

/** A load of a mechanism; what is not given is 0. */
export default function createLoad(mechanism: string, parts: Partial<Omit<Load, 'mechanism'>>): Load {
  return {
    mechanism,
    messagesPerSecond: 0,
    bytesPerSecond: 0,
    microsecondsPerSecond: 0,
    memoryBytes: 0,
    storeReadsPerSecond: 0,
    storeWritesPerSecond: 0,
    ...parts,
  };
}
