import sade from 'sade';
import { runServiceProcess } from '@dandelionlane/settings';
import startController from './lib/startController.js';
import ControllerSettings from './lib/settings/ControllerSettings.js';

const VERSION = '0.1.0';

interface Options {
  readonly settings: string;
  readonly check?: boolean;
}

function run(options: Options): Promise<void> {
  return runServiceProcess({
    name: 'controller',
    settingsFile: options.settings,
    schema: ControllerSettings,
    checkOnly: options.check === true,
    async start(settings) {
      const controller = await startController(settings);
      return { addresses: { healthAddress: controller.healthAddress }, stop: () => controller.stop() };
    },
  });
}

sade('dandelionlane-controller', true)
  .version(VERSION)
  .describe('Controls placement in one region. Runs beside every entry; one at a time holds the lease.')
  .option('--settings', 'Settings file, JSON with comments', 'controller.jsonc')
  .option('--check', 'Check the settings and exit')
  .action(run)
  .parse(process.argv);
