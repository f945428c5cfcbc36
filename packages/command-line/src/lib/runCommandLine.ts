import EXIT_CODES from './EXIT_CODES.js';
import type ExitCode from './ExitCode.js';
import parseArguments from './parseArguments.js';
import runCommand from './runCommand.js';
import type Terminal from './Terminal.js';

/**
 * Parses the arguments, runs the command and returns its exit code.
 *
 * @example
 * await runCommandLine(createTerminal(), ['node', 'dandelionlane', 'status']);
 */
export default async function runCommandLine(terminal: Terminal, argv: readonly string[]): Promise<ExitCode> {
  const command = parseArguments(argv);
  if (command === undefined) {
    return EXIT_CODES.done;
  }
  if (command.isErr()) {
    terminal.writeError(`${command.error.message}\nRun \`dandelionlane --help\` for help.`);
    return EXIT_CODES.usage;
  }
  return runCommand(terminal, command.value);
}
