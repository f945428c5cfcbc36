import { parseWith, type ServingError, SystemClock } from '@dandelionlane/core';
import { readSettings } from '@dandelionlane/settings';
import { okAsync, type ResultAsync } from 'neverthrow';
import sade from 'sade';
import applyOptions from './lib/settings/applyOptions.js';
import LoadSettings from './lib/settings/LoadSettings.js';
import type LoadOptions from './lib/settings/LoadOptions.js';
import type LoadReport from './lib/reports/LoadReport.js';
import renderText from './lib/reports/renderText.js';
import writeReports from './lib/reports/writeReports.js';
import runLoad from './lib/runLoad.js';

/** Command line of the load generator. */
const CHECK_FAILED_EXIT_CODE = 1;
const NOT_RUN_EXIT_CODE = 2;

function keepReport(
  report: LoadReport,
  directory: string | undefined,
): ResultAsync<LoadReport, ServingError> {
  return directory === undefined ? okAsync(report) : writeReports(report, directory).map(() => report);
}

async function run(options: LoadOptions): Promise<void> {
  const outcome = await readSettings(options.settings, LoadSettings)
    .andThen((settings) => parseWith(LoadSettings, applyOptions(settings, options), 'settings-invalid'))
    .asyncAndThen((settings) => runLoad(settings, new SystemClock()))
    .andThen((report) => keepReport(report, options.report));
  outcome.match(
    (report) => {
      process.stdout.write(renderText(report));
      process.exitCode = report.passed ? 0 : CHECK_FAILED_EXIT_CODE;
    },
    (error) => {
      process.stderr.write(`${error.message}\n`);
      process.exitCode = NOT_RUN_EXIT_CODE;
    },
  );
}

sade('dandelionlane-load', true)
  .describe('Sends an open-loop load, checks every answer and reports.')
  .option('--settings', 'Settings file (JSON with comments).', 'load.json')
  .option('--duration', 'Seconds during which calls are sent.')
  .option('--rate', 'Calls per second.')
  .option('--seed', 'Seed of arrivals and contents.')
  .option('--journal', 'Address of a target journal; repeat it or separate addresses by commas.')
  .option('--report', 'Directory for report.txt, report.json and report.html.')
  .action(run)
  .parse(process.argv, { string: ['journal', 'report', 'settings'] });
