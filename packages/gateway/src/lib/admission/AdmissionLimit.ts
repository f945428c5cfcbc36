/**
 * What had no room for a request: `targets` (no slot became free while it could wait), `time` (more
 * requests go before it than are served in its time), `queue` (it is full), `evicted` (it is full, and
 * another request took the place).
 */
type AdmissionLimit = 'targets' | 'time' | 'queue' | 'evicted';

export default AdmissionLimit;
