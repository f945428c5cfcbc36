import { setTimeout as sleep } from 'node:timers/promises';
import { SystemClock } from '@dandelionlane/core';
import type Terminal from './Terminal.js';

/** Creates a terminal that uses the standard streams and the system clock of this process. */
export default function createTerminal(): Terminal {
  return {
    writeLine: (text) => {
      process.stdout.write(`${text}\n`);
    },
    writeError: (text) => {
      process.stderr.write(`${text}\n`);
    },
    clock: new SystemClock(),
    sleep: (milliseconds) => sleep(milliseconds),
  };
}
