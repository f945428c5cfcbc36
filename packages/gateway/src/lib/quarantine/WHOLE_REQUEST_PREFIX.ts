/** Begins the names of whole requests among those of parts of prompts. */
const WHOLE_REQUEST_PREFIX = 'request-';

export default WHOLE_REQUEST_PREFIX;
