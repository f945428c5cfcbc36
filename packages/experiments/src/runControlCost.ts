import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import sade from 'sade';
import type ControlCostResult from './lib/ControlCostResult.js';
import measureControlCost from './lib/measureControlCost.js';
import type ProcessCost from './lib/ProcessCost.js';

const VERSION = '0.1.0';

interface Options {
  readonly sizes: string;
  readonly entries: string | number;
  readonly seconds: string | number;
}

function describe(costs: readonly ProcessCost[]): string {
  return costs
    .map(({ name, cores, residentMebibytes }) => `${name} ${(cores * 100).toFixed(1)} % ${residentMebibytes.toFixed(0)} MiB`)
    .join(', ');
}

function printResult(result: ControlCostResult): void {
  process.stdout.write([
    `${result.vms} VMs, ${result.replicas} replicas, ${result.entries.length} entries, serving after ${result.secondsUntilServing.toFixed(1)} s`,
    `  ${describe(result.entries)}`,
    `  ${describe(result.controllers)}`,
    `  table service: ${result.storeReadsPerSecond.toFixed(1)} reads/s, ${result.storeWritesPerSecond.toFixed(1)} writes/s`,
    '',
  ].join('\n'));
}

async function run(options: Options): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), 'dandelionlane-control-cost-'));
  for (const size of options.sizes.split(',')) {
    printResult(await measureControlCost(directory, {
      modelVMsPerZone: Number(size),
      entries: Number(options.entries),
      seconds: Number(options.seconds),
    }));
  }
}

sade('control-cost', true)
  .version(VERSION)
  .describe('Measures every process without load as the fleet grows.')
  .option('--sizes', 'Model VMs in each of three zones, one run each', '24,60,120')
  .option('--entries', 'Entries', 9)
  .option('--seconds', 'Length of each measurement', 15)
  .action(run)
  .parse(process.argv);
