/** Exit codes of the command, for use by scripts. */
const EXIT_CODES = {
  /** The command succeeded. */
  done: 0,
  /** Refused: nothing was changed, or a file is invalid. */
  refused: 1,
  /** Invalid arguments, settings or token file; no request was sent. */
  usage: 2,
  /** No entry could be reached; nothing was changed. */
  unreachable: 3,
  /** A change was sent but its answer was lost, so it may have been accepted. */
  outcomeUnknown: 4,
  /** Accepted, but not in force at every entry before the timeout of `--wait`. */
  waitTimeout: 5,
} as const;

export default EXIT_CODES;
