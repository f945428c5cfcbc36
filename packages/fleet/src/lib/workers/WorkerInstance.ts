import type Worker from './Worker.js';

/** One life of a worker: an id may be used again after a restart. */
type WorkerInstance = Pick<Worker, 'id' | 'bornAt'>;

export default WorkerInstance;
