/** Earlier heads that a record keeps. Members return from older formations only after a long cut. */
const MAXIMUM_FORMER_HEADS = 8;

export default MAXIMUM_FORMER_HEADS;
