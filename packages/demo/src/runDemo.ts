import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import sade from 'sade';
import Demonstration from './lib/Demonstration.js';
import type DemoStep from './lib/DemoStep.js';
import type RunningSystem from './lib/RunningSystem.js';
import startSystem from './lib/startSystem.js';

const NAME_WIDTH = 34;
const VERSION = '0.1.0';

interface Options {
  readonly hold?: boolean;
}

function printStep({ name, passed, detail }: DemoStep): void {
  process.stdout.write(`${passed ? 'ok    ' : 'WRONG '} ${name.padEnd(NAME_WIDTH)} ${detail}\n`);
}

function printHold(system: RunningSystem, directory: string): void {
  const caller = String(system.entries[0]?.addresses.callerAddress);
  const administration = String(system.entries[0]?.addresses.administrationAddress);
  process.stdout.write([
    '',
    'The system stays up until it is interrupted. Logs and settings:',
    `  ${directory}`,
    ...system.entries.map(({ name, addresses }) => `  ${name}: callers ${String(addresses.callerAddress)}, administration ${String(addresses.administrationAddress)}`),
    'Commands to try:',
    `  curl -s 'http://${caller}/v1/entries?service=inscription-assistant'`,
    `  curl -sN http://${caller}/v1/chat/completions -H 'dandelionlane-team: me' -d '{"model":"inscription-assistant","stream":true,"messages":[{"role":"user","content":"hello"}]}'`,
    `  node packages/command-line/dist/dandelionlane.js status --entry ${administration} --token-file ${system.tokenFile}`,
    '',
  ].join('\n'));
}

async function run(options: Options): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), 'dandelionlane-demo-'));
  const startedAt = performance.now();
  const system = await startSystem({
    directory,
    availabilityZones: ['zone-a', 'zone-b', 'zone-c'],
    modelVMsPerZone: 5,
    plainVMsPerZone: 1,
    entries: 3,
    controllers: 2,
    checksFencing: true,
  });
  printStep({ name: 'start 7 processes', passed: true, detail: `${Math.round(performance.now() - startedAt)} ms` });
  const steps = await new Demonstration(system, directory).run(printStep);
  const wrong = steps.filter(({ passed }) => !passed).length;
  if (options.hold === true) {
    printHold(system, directory);
    await new Promise<void>((resolve) => {
      process.once('SIGINT', () => resolve());
      process.once('SIGTERM', () => resolve());
    });
  }
  await system.processes.stop();
  process.stdout.write(wrong === 0 ? 'All outcomes are as expected.\n' : `${wrong} outcomes are wrong; logs: ${directory}\n`);
  process.exitCode = wrong === 0 ? 0 : 1;
}

sade('dandelionlane-demo', true)
  .version(VERSION)
  .describe('Runs the whole path as separate processes on loopback and checks each outcome.')
  .option('--hold', 'Leave the system up and print addresses and commands to try')
  .action(run)
  .parse(process.argv);
