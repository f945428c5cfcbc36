import sade from 'sade';
import { readSettings } from '@dandelionlane/settings';
import startController from './lib/startController.js';
import ControllerSettings from './lib/settings/ControllerSettings.js';

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
  const controller = await startController(settings.value);
  process.stdout.write(`ready ${JSON.stringify({ healthAddress: controller.healthAddress })}\n`);
  const stop = () => {
    void controller.stop().then(() => {
      process.exitCode = 0;
    });
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

sade('dandelionlane-controller', true)
  .version(VERSION)
  .describe('Controls placement in one region. Runs beside every entry; one at a time holds the lease.')
  .option('--settings', 'Settings file, JSON with comments', 'controller.jsonc')
  .option('--check', 'Check the settings and exit')
  .action(run)
  .parse(process.argv);
