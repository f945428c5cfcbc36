import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes of live heap and external memory, after a collection. */
export default function readMemory(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
