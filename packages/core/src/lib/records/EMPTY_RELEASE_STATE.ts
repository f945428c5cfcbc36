import ReleaseSequence from '../ids/ReleaseSequence.js';
import type ReleaseState from './ReleaseState.js';

/** State of the empty release log. */
const EMPTY_RELEASE_STATE: ReleaseState = {
  sequence: ReleaseSequence.parse(0),
  services: [],
  withdrawn: [],
  teamWeights: [],
  availabilityZonesOut: [],
  vmsOut: [],
};

export default EMPTY_RELEASE_STATE;
