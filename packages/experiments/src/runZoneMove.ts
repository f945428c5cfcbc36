import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import sade from 'sade';
import { renderText, writeReports } from '@dandelionlane/load';
import measureZoneMove from './lib/measureZoneMove.js';

const VERSION = '0.1.0';

interface Options {
  readonly rate: string | number;
  readonly out: string | number;
  readonly back: string | number;
  readonly end: string | number;
  readonly seed: string | number;
  readonly entries: string | number;
  readonly report?: string;
}

async function run(options: Options): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), 'dandelionlane-zone-move-'));
  const result = await measureZoneMove(directory, {
    seed: Number(options.seed),
    callsPerSecond: Number(options.rate),
    takeOutAtSeconds: Number(options.out),
    bringBackAtSeconds: Number(options.back),
    endAtSeconds: Number(options.end),
    entries: Number(options.entries),
  });
  process.stdout.write(renderText(result.report));
  process.stdout.write([
    `Command exit codes: ${result.commandCodes.join(', ')}`,
    `New runs in the zone later than 3 s after the take-out: ${result.lateRunsInZone}`,
    `Targets that fell over in cold start: ${result.fellOver}`,
    `Settings and logs: ${directory}`,
    '',
  ].join('\n'));
  if (options.report !== undefined) {
    (await writeReports(result.report, options.report)).mapErr((error) => {
      process.stderr.write(`${error.message}\n`);
      return error;
    });
  }
  const held = result.report.passed && result.lateRunsInZone === 0 && result.fellOver === 0;
  process.exitCode = held ? 0 : 1;
}

sade('zone-move', true)
  .version(VERSION)
  .describe('Takes a zone out and brings it back under load, at the size of the engraving desk.')
  .option('--rate', 'Calls a second', 60)
  .option('--out', 'Take-out after so many seconds', 10)
  .option('--back', 'Bring-back after so many seconds', 35)
  .option('--end', 'End of the load after so many seconds', 70)
  .option('--seed', 'Seed of the load', 1)
  .option('--entries', 'Entries', 9)
  .option('--report', 'Directory for the load report')
  .action(run)
  .parse(process.argv);
