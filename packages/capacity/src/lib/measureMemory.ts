import readMemory from './readMemory.js';

/** Bytes of memory that one item takes, out of many that are created and kept. */
export default function measureMemory(count: number, create: (number: number) => unknown): number {
  const before = readMemory();
  const kept = Array.from({ length: count }, (_, number) => create(number));
  const after = readMemory();
  // Read after the measurement, so that the items stay alive until then.
  return (after - before) / kept.length;
}
