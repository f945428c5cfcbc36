/**
 * What a target shows after the end of an answer without a length. `answered`: it goes on, as the process
 * that it was; only then is the answer whole. `replaced`: another process has its address. `refused`: nothing
 * listens there. `connection-lost`: a connection beside the answer ended together with it. `group-ended`: its
 * group is not open any more. `unanswered`: none of these.
 */
type EndEvidence = 'answered' | 'replaced' | 'refused' | 'connection-lost' | 'group-ended' | 'unanswered';

export default EndEvidence;
