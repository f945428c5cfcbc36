/**
 * Phase of an entry's lifecycle. `leaving`: callers are no longer directed to it, but it still
 * serves requests that arrive. `closed`: it refuses new requests.
 */
type EntryPhase = 'serving' | 'leaving' | 'closed';

export default EntryPhase;
