import type Worker from './Worker.js';

/** A worker with what this process knows of its registration. */
export default interface WorkerEntry {
  readonly worker: Worker;
  /** Monotonic time until which it is in cold start, in ms. */
  readonly coldUntil: number;
  /** Monotonic time at which its registration vanished while the store was unsteady, or null. */
  readonly lapsedAt: number | null;
}
