/** How a request may be repeated: at will, never, or as a stream that goes on after its last event. */
type RequestKind = 'safe' | 'once' | 'stream';

export default RequestKind;
