import { spawn } from 'node:child_process';
import programPath from './programPath.js';
import type CommandResult from './CommandResult.js';
import type RunningSystem from './RunningSystem.js';

/** Runs the operators' command against the system's entries and resolves to its exit code and output. */
export default function runCommand(
  system: RunningSystem,
  parameters: readonly string[],
): Promise<CommandResult> {
  const entries = system.entries.flatMap(({ addresses }) => ['--entry', String(addresses.administrationAddress)]);
  const child = spawn(process.execPath, [
    programPath('command-line', 'dandelionlane'),
    ...parameters,
    ...entries,
    '--token-file', system.tokenFile,
  ], { stdio: ['ignore', 'pipe', 'pipe'] });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  return new Promise((resolve) => {
    child.once('close', (code) => resolve({ code, output }));
  });
}
