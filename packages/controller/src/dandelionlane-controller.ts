import sade from 'sade';
import { onShutdownSignal } from '@dandelionlane/core';
import { readSettings } from '@dandelionlane/settings';
import startController from './lib/startController.js';
import ControllerSettings from './lib/settings/ControllerSettings.js';

const EXIT_START = 1;
const EXIT_SETTINGS = 2;
const VERSION = '0.1.0';

interface Options {
  readonly settings?: string;
  readonly check?: boolean;
}

async function run(options: Options): Promise<void> {
  const settings = readSettings(options.settings ?? 'controller.jsonc', ControllerSettings);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.message}\n`);
    process.exitCode = EXIT_SETTINGS;
    return;
  }
  if (options.check === true) {
    process.stdout.write('settings are valid\n');
    return;
  }
  try {
    const controller = await startController(settings.value);
    process.stdout.write(`ready ${JSON.stringify({ healthAddress: controller.healthAddress })}\n`);
    onShutdownSignal(process, () => controller.stop());
  } catch (error) {
    process.stderr.write(`controller did not start: ${String(error)}\n`);
    // The rounds that have begun must not hold the process.
    // eslint-disable-next-line n/no-process-exit
    process.exit(EXIT_START);
  }
}

sade('dandelionlane-controller', true)
  .version(VERSION)
  .describe('Controls placement in one region. Runs beside every entry; one at a time holds the lease.')
  .option('--settings', 'Settings file, JSON with comments', 'controller.jsonc')
  .option('--check', 'Check the settings and exit')
  .action(run)
  .parse(process.argv);
