/** Time to load weights from the store, in ms: 12 s to 16 s. The profile of a model does not carry it. */
const LOAD_MILLISECONDS = 16_000;

export default LOAD_MILLISECONDS;
