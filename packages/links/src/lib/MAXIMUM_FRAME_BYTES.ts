/** Largest message on a link, in bytes after decompression. Fits a state with some thousand registrations. */
const MAXIMUM_FRAME_BYTES = 4 * 1_024 * 1_024;

export default MAXIMUM_FRAME_BYTES;
