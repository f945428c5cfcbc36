import type { ServingError } from '@dandelionlane/core';
import type { Result } from 'neverthrow';
import buildProgram from './buildProgram.js';
import type Command from './Command.js';
import EXIT_CODES from './EXIT_CODES.js';

/** These options are passed with a value, so that the parser does not consume the next argument as theirs. */
const BOOLEAN_OPTIONS = /^--(?:wait|json)$/;

/**
 * Parses the arguments; `argv` starts with the executable and the script. Returns undefined
 * for `--help` and `--version`, which sade handles itself. If sade rejects the arguments,
 * it prints the reason and exits the process; the exit code is then `usage`.
 */
export default function parseArguments(argv: readonly string[]): Result<Command, ServingError> | undefined {
  const setUsageExitCode = () => {
    process.exitCode = EXIT_CODES.usage;
  };
  process.once('exit', setUsageExitCode);
  const parsed = buildProgram().parse(argv.map((argument) => argument.replace(BOOLEAN_OPTIONS, '$&=true')), {
    lazy: true,
    boolean: ['wait', 'json'],
    string: ['entry', 'token-file', 'settings', 'timeout', 'log'],
    unknown: (flag) => `unknown option ${flag}`,
  });
  process.off('exit', setUsageExitCode);
  // The declared type omits undefined, which sade returns for --help and --version.
  const action = parsed as typeof parsed | undefined;
  return action?.handler(...action.args) as Result<Command, ServingError> | undefined;
}
