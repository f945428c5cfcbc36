/** Why a replica is placed. */
type PlaceReason = 'below-wanted' | 'version-change' | 'out-of-service' | 'replica-lost' | 'spread' | 'defragment';

export default PlaceReason;
