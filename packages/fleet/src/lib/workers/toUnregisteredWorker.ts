import type Worker from './Worker.js';

/** Identity and address of a worker, known without its registration. */
type WorkerIdentity = Pick<Worker, 'id' | 'service' | 'address' | 'zone' | 'domain' | 'bornAt'>;

/** A worker that answers although its registration is missing. */
export default function toUnregisteredWorker(identity: WorkerIdentity): Worker {
  return {
    ...identity,
    slots: 0,
    draining: false,
    coldMilliseconds: 0,
    models: [],
    stagedModels: [],
    group: null,
  };
}
