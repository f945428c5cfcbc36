import sade from 'sade';
import { onShutdownSignal } from '@dandelionlane/core';
import { readSettings } from '@dandelionlane/settings';
import EntrySettings from './lib/settings/EntrySettings.js';
import startEntry from './lib/startEntry.js';

const EXIT_START = 1;
const EXIT_SETTINGS = 2;
const VERSION = '0.1.0';

interface Options {
  readonly settings?: string;
  readonly check?: boolean;
}

async function run(options: Options): Promise<void> {
  const settings = readSettings(options.settings ?? 'entry.jsonc', EntrySettings);
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
    const entry = await startEntry(settings.value);
    const { callerAddress, peerAddress, administrationAddress } = entry;
    process.stdout.write(`ready ${JSON.stringify({ callerAddress, peerAddress, administrationAddress })}\n`);
    onShutdownSignal(process, async () => {
      await entry.stop();
      // Connections that callers keep alive must not hold the process.
      // eslint-disable-next-line n/no-process-exit
      process.exit(0);
    });
  } catch (error) {
    process.stderr.write(`entry did not start: ${String(error)}\n`);
    // Ports that were bound before the failure must not hold the process.
    // eslint-disable-next-line n/no-process-exit
    process.exit(EXIT_START);
  }
}

sade('dandelionlane-entry', true)
  .version(VERSION)
  .describe('Serves callers: routes their requests to whole replicas and plain services.')
  .option('--settings', 'Settings file, JSON with comments', 'entry.jsonc')
  .option('--check', 'Check the settings and exit')
  .action(run)
  .parse(process.argv);
