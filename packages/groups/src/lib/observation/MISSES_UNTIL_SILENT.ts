/** Unanswered questions in a row after which a worker counts as silent: one may be lost on the way. */
const MISSES_UNTIL_SILENT = 2;

export default MISSES_UNTIL_SILENT;
