/** Interim heads (1xx) that a target may send before its answer: none is needed, and each costs time. */
const MAXIMUM_INTERIM_HEADS = 8;

export default MAXIMUM_INTERIM_HEADS;
