import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Heap in use after a full garbage collection, in bytes. */
function collectAndRead(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

/** Heap bytes per item of the value that `build` returns with `items` items. */
export default function measureBytes(items: number, build: () => unknown): number {
  const before = collectAndRead();
  const kept = build();
  const after = collectAndRead();
  // Uses the value after the collection, so that it is reachable during it.
  return kept === undefined ? NaN : Math.round((after - before) / items);
}
