/** A callback scheduled for a simulated time. */
interface ScheduledEvent {
  readonly atMilliseconds: number;
  readonly order: number;
  readonly run: () => void;
}

/** Whether `left` runs before `right`; events at the same time run in the order of scheduling. */
function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.atMilliseconds === right.atMilliseconds
    ? left.order < right.order
    : left.atMilliseconds < right.atMilliseconds;
}

/** Discrete-event simulation: runs events in order of time on a simulated clock. */
export default class Simulation {
  #heap: ScheduledEvent[] = [];

  #order = 0;

  #now = 0;

  /** Simulated monotonic time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Schedules `run` after a delay. */
  after(milliseconds: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ atMilliseconds: this.#now + milliseconds, order: this.#order, run });
    this.#siftUp(this.#heap.length - 1);
  }

  /** Schedules `run` periodically, first after `offset`, in milliseconds. */
  every(milliseconds: number, offset: number, run: () => void): void {
    this.after(offset, () => {
      run();
      this.every(milliseconds, milliseconds, run);
    });
  }

  /** Runs all events up to this time. */
  runUntil(milliseconds: number): void {
    for (let next = this.#heap[0]; next !== undefined && next.atMilliseconds <= milliseconds;) {
      this.#popFirst();
      this.#now = next.atMilliseconds;
      next.run();
      [next] = this.#heap;
    }
    this.#now = milliseconds;
  }

  #popFirst(): void {
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#swapIfBefore(index, parent)) {
        return;
      }
      index = parent;
    }
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const child = this.#isBeforeAt(left + 1, left) ? left + 1 : left;
      if (!this.#swapIfBefore(child, index)) {
        return;
      }
      index = child;
    }
  }

  #isBeforeAt(left: number, right: number): boolean {
    const first = this.#heap[left];
    const second = this.#heap[right];
    return first !== undefined && second !== undefined && isBefore(first, second);
  }

  #swapIfBefore(left: number, right: number): boolean {
    const first = this.#heap[left];
    const second = this.#heap[right];
    if (first === undefined || second === undefined || !isBefore(first, second)) {
      return false;
    }
    this.#heap[left] = second;
    this.#heap[right] = first;
    return true;
  }
}
