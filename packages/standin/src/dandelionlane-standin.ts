import type { ServingError } from '@dandelionlane/core';
import { readSettings } from '@dandelionlane/settings';
import type { ResultAsync } from 'neverthrow';
import sade from 'sade';
import PlatformSettings from './lib/platform/PlatformSettings.js';
import startPlatform from './lib/platform/startPlatform.js';
import startVMs from './lib/vms/startVMs.js';
import VMsSettings from './lib/vms/VMsSettings.js';

/** Command line of the stand-ins. */
const FAILURE_EXIT_CODE = 1;

async function announce(started: ResultAsync<object, ServingError>): Promise<void> {
  (await started).match(
    (addresses) => process.stdout.write(`ready ${JSON.stringify(addresses)}\n`),
    (error) => {
      process.stderr.write(`${error.message}\n`);
      process.exitCode = FAILURE_EXIT_CODE;
    },
  );
}

function runPlatform({ settings }: { settings: string }): Promise<void> {
  return announce(readSettings(settings, PlatformSettings)
    .asyncAndThen((checked) => startPlatform(checked))
    .map(({ address }) => ({ address })));
}

function runVMs({ settings }: { settings: string }): Promise<void> {
  return announce(readSettings(settings, VMsSettings)
    .asyncAndThen((checked) => startVMs(checked))
    .map(({ controlAddress, vms }) => ({ controlAddress, vms })));
}

sade('dandelionlane-standin')
  .command('platform', 'Run the table service, object store, VM list and weight store.')
  .option('--settings', 'Settings file (JSON with comments).', 'platform.json')
  .action(runPlatform)
  .command('vms', 'Run engines and applications, one per VM.')
  .option('--settings', 'Settings file (JSON with comments).', 'vms.json')
  .action(runVMs)
  .parse(process.argv);
