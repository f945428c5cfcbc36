import type ExitCode from './ExitCode.js';

/** Why a command ends without having done what was asked. */
export default interface Failure {
  readonly exitCode: ExitCode;
  /** For people; may have several lines. */
  readonly message: string;
}
