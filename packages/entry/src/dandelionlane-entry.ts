import sade from 'sade';
import { runServiceProcess } from '@dandelionlane/settings';
import EntrySettings from './lib/settings/EntrySettings.js';
import startEntry from './lib/startEntry.js';

const VERSION = '0.1.0';

interface Options {
  readonly settings: string;
  readonly check?: boolean;
}

function run(options: Options): Promise<void> {
  return runServiceProcess({
    name: 'entry',
    settingsFile: options.settings,
    schema: EntrySettings,
    checkOnly: options.check === true,
    async start(settings) {
      const entry = await startEntry(settings);
      const { callerAddress, peerAddress, administrationAddress } = entry;
      return { addresses: { callerAddress, peerAddress, administrationAddress }, stop: () => entry.stop() };
    },
  });
}

sade('dandelionlane-entry', true)
  .version(VERSION)
  .describe('Serves callers: routes their requests to whole replicas and plain services.')
  .option('--settings', 'Settings file, JSON with comments', 'entry.jsonc')
  .option('--check', 'Check the settings and exit')
  .action(run)
  .parse(process.argv);
