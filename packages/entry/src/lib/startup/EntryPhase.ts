/**
 * Where an entry is in its life. `leaving`: it is no longer named to callers, but
 * serves those that still come. `closed`: it refuses new requests.
 */
type EntryPhase = 'serving' | 'leaving' | 'closed';

export default EntryPhase;
