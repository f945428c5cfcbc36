/** What the command's exit code tells a script. */
const EXIT_CODES = {
  /** The command did what was asked. */
  done: 0,
  /** Refused: nothing was changed, or a file has faults. */
  refused: 1,
  /** Wrong arguments, settings or token file; nothing was sent. */
  usage: 2,
  /** No entry could be reached; nothing was changed. */
  unreachable: 3,
  /** A change was sent and its answer was lost: it may have been accepted. */
  outcomeUnknown: 4,
  /** Accepted, but not in force at every entry before the timeout of `--wait`. */
  waitTimeout: 5,
} as const;

export default EXIT_CODES;
