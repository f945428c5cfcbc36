/** Largest message on a link, in bytes, decompressed: a state with some thousand registrations. */
const MAXIMUM_FRAME_BYTES = 4 * 1_024 * 1_024;

export default MAXIMUM_FRAME_BYTES;
