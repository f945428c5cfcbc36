import { mkdir, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';
import sade from 'sade';
import Figures from './lib/Figures.js';
import formatReport from './lib/formatReport.js';
import ITEMS from './lib/ITEMS.js';
import type Measurement from './lib/Measurement.js';
import workOutRoles from './lib/workOutRoles.js';

/** Options of the command. */
interface Options {
  readonly output: string;
}

async function write(path: string, text: string): Promise<void> {
  await mkdir(dirname(path), { recursive: true });
  await writeFile(path, text);
}

async function run({ output }: Options): Promise<void> {
  const measurements: Measurement[] = [];
  for (const item of ITEMS) {
    measurements.push(...await item.measure());
  }
  const figures = new Figures(measurements);
  const roles = workOutRoles(figures);
  const report = formatReport(figures, roles);
  process.stdout.write(report);
  await write(`${output}.txt`, report);
  await write(`${output}.json`, `${JSON.stringify({ measurements, roles }, null, 2)}\n`);
}

sade('run-capacity', true)
  .describe('Measures slopes and works out each role at the size to design for.')
  .option('--output', 'Path of the results, without ending', 'tmp/capacity')
  .action(run)
  .parse(process.argv);
