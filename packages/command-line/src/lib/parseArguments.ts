import type { ServingError } from '@dandelionlane/core';
import type { Result } from 'neverthrow';
import buildProgram from './buildProgram.js';
import type Command from './Command.js';
import EXIT_CODES from './EXIT_CODES.js';

/** Written with a value, so that the parser takes no following argument for it. */
const FLAGS = /^--(?:wait|json)$/;

/**
 * Reads the arguments; `argv` begins with the executable and the script. Undefined after
 * `--help` or `--version`, which sade prints. Where sade itself finds the arguments
 * wrong, it prints why and ends the process; the code is then that of a usage error.
 */
export default function parseArguments(argv: readonly string[]): Result<Command, ServingError> | undefined {
  const setUsageCode = () => {
    process.exitCode = EXIT_CODES.usage;
  };
  process.once('exit', setUsageCode);
  const parsed = buildProgram().parse(argv.map((argument) => argument.replace(FLAGS, '$&=true')), {
    lazy: true,
    boolean: ['wait', 'json'],
    string: ['entry', 'token-file', 'settings', 'timeout', 'log'],
    unknown: (flag) => `unknown option ${flag}`,
  });
  process.off('exit', setUsageCode);
  // The declared type leaves out that there is no command after --help and --version.
  const found = parsed as typeof parsed | undefined;
  return found?.handler(...found.args) as Result<Command, ServingError> | undefined;
}
