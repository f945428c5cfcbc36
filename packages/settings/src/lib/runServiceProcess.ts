import { onShutdownSignal } from '@dandelionlane/core';
import type ServiceProcessOptions from './ServiceProcessOptions.js';
import readSettings from './readSettings.js';

const EXIT_DONE = 0;
const EXIT_START = 1;
const EXIT_SETTINGS = 2;

async function startAndServe<Settings>(
  plan: ServiceProcessOptions<Settings>,
  settings: Settings,
): Promise<void> {
  const running = await plan.start(settings);
  process.stdout.write(`ready ${JSON.stringify(running.addresses)}\n`);
  onShutdownSignal(process, async () => {
    await running.stop();
    // Connections that others keep alive must not hold the process.
    // eslint-disable-next-line n/no-process-exit
    process.exit(EXIT_DONE);
  });
}

/**
 * Runs a process from its settings file until SIGTERM or SIGINT. Prints one line
 * `ready <addresses as JSON>` once it serves. Exit codes: 0 after a graceful shutdown
 * or a check without faults, 1 when it could not start, 2 for faulty settings.
 */
export default async function runServiceProcess<Settings>(
  plan: ServiceProcessOptions<Settings>,
): Promise<void> {
  const settings = readSettings(plan.settingsFile, plan.schema);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.message}\n`);
    process.exitCode = EXIT_SETTINGS;
    return;
  }
  if (plan.checkOnly) {
    process.stdout.write('settings are valid\n');
    return;
  }
  try {
    await startAndServe(plan, settings.value);
  } catch (error) {
    process.stderr.write(`${plan.name} did not start: ${String(error)}\n`);
    // Ports that were bound before the failure must not hold the process.
    // eslint-disable-next-line n/no-process-exit
    process.exit(EXIT_START);
  }
}
