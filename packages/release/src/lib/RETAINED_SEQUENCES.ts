/**
 * How far back, in sequences, a note may have been written and still be compared with
 * the current state. Withdrawn services are remembered for just as long, so that the
 * state does not grow with the age of the log.
 */
const RETAINED_SEQUENCES = 4_096;

export default RETAINED_SEQUENCES;
