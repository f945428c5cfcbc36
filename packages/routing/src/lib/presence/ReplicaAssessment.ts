import type NotWholeReplica from './NotWholeReplica.js';
import type WholeReplica from './WholeReplica.js';

/** Whether a replica may take a request. */
type ReplicaAssessment = WholeReplica | NotWholeReplica;

export default ReplicaAssessment;
