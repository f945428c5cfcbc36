/** Unanswered questions in a row after which a worker counts as silent: packets get lost on the way. */
const MISSES_UNTIL_SILENT = 3;

export default MISSES_UNTIL_SILENT;
