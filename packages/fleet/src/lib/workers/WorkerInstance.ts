import type Worker from './Worker.js';

/** Identity of one run of a worker: an id may be reused after a restart. */
type WorkerInstance = Pick<Worker, 'id' | 'bornAt'>;

export default WorkerInstance;
