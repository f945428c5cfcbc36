import type EXIT_CODES from './EXIT_CODES.js';

/** One of the exit codes. */
type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

export default ExitCode;
