import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Heap in use after a full collection, in bytes. */
function collectAndRead(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

/** Bytes of heap for each of the items that `build` makes and returns in one value. */
export default function measureBytes(items: number, build: () => unknown): number {
  const before = collectAndRead();
  const kept = build();
  const after = collectAndRead();
  // Read after the collection, so that the value is alive during it.
  return kept === undefined ? NaN : Math.round((after - before) / items);
}
