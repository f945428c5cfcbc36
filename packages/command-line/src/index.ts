/** Public surface of the package. */
export { default as createTerminal } from './lib/createTerminal.js';
export { default as EXIT_CODES } from './lib/EXIT_CODES.js';
export { type default as ExitCode } from './lib/ExitCode.js';
export { default as runCommandLine } from './lib/runCommandLine.js';
export { type default as Terminal } from './lib/Terminal.js';
