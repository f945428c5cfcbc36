/** Where a request came from: a caller, or another entry that cannot reach its targets. */
type RequestOrigin = 'caller' | 'entry';

export default RequestOrigin;
