import type { ServingError } from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import sade from 'sade';
import PlatformSettings from './lib/platform/PlatformSettings.js';
import startPlatform from './lib/platform/startPlatform.js';
import readStandInSettings from './lib/readStandInSettings.js';
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
  return announce(readStandInSettings(settings, PlatformSettings)
    .andThen((checked) => startPlatform(checked))
    .map(({ address }) => ({ address })));
}

function runVMs({ settings }: { settings: string }): Promise<void> {
  return announce(readStandInSettings(settings, VMsSettings)
    .andThen((checked) => startVMs(checked))
    .map(({ controlAddress, vms }) => ({ controlAddress, vms })));
}

sade('dandelionlane-standin')
  .command('platform', 'Run the table service, object store, VM list and weight store.')
  .option('--settings', 'Settings file (JSON).', 'platform.json')
  .action(runPlatform)
  .command('vms', 'Run engines and applications, one per VM.')
  .option('--settings', 'Settings file (JSON).', 'vms.json')
  .action(runVMs)
  .parse(process.argv);
