import { onShutdownSignal } from '@dandelionlane/core';
import type ServiceProcessOptions from './ServiceProcessOptions.js';
import readSettings from './readSettings.js';

const EXIT_CODE_SUCCESS = 0;
const EXIT_CODE_START_FAILED = 1;
const EXIT_CODE_INVALID_SETTINGS = 2;

async function startAndServe<Settings>(
  options: ServiceProcessOptions<Settings>,
  settings: Settings,
): Promise<void> {
  const service = await options.start(settings);
  process.stdout.write(`ready ${JSON.stringify(service.addresses)}\n`);
  onShutdownSignal(process, async () => {
    await service.stop();
    // Keep-alive connections of clients would keep the process running.
    // eslint-disable-next-line n/no-process-exit
    process.exit(EXIT_CODE_SUCCESS);
  });
}

/**
 * Runs a process from its settings file until SIGTERM or SIGINT. Prints the line
 * `ready <addresses as JSON>` once it serves. Exit codes: 0 after a graceful shutdown or
 * if the checked settings are valid, 1 if the process failed to start, 2 for invalid settings.
 */
export default async function runServiceProcess<Settings>(
  options: ServiceProcessOptions<Settings>,
): Promise<void> {
  const settings = readSettings(options.settingsFile, options.schema);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.message}\n`);
    process.exitCode = EXIT_CODE_INVALID_SETTINGS;
    return;
  }
  if (options.checkOnly) {
    process.stdout.write('settings are valid\n');
    return;
  }
  try {
    await startAndServe(options, settings.value);
  } catch (error) {
    process.stderr.write(`${options.name} did not start: ${String(error)}\n`);
    // Ports that were bound before the failure would keep the process running.
    // eslint-disable-next-line n/no-process-exit
    process.exit(EXIT_CODE_START_FAILED);
  }
}
