/**
 * Maximum distance, in sequences, between the current state and the one that a note was
 * written against. Notes older than that are refused. Withdrawn services are kept in the
 * state for the same distance, so that the state does not grow with the age of the log.
 */
const RETAINED_SEQUENCES = 4_096;

export default RETAINED_SEQUENCES;
