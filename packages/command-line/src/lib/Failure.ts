import type ExitCode from './ExitCode.js';

/** Exit code and message of a failed command. */
export default interface Failure {
  readonly exitCode: ExitCode;
  /** Human-readable; may span several lines. */
  readonly message: string;
}
