type Task = () => void;

/** Deterministic schedule: runs tasks by time, and tasks of equal time in the order of scheduling. */
export default class FakeSchedule {
  readonly #tasks = new Map<number, Task[]>();

  #now = 0;

  get now(): number {
    return this.#now;
  }

  /** Runs a task after a delay, rounded up to whole milliseconds. */
  after(milliseconds: number, task: Task): void {
    const time = this.#now + Math.max(1, Math.ceil(milliseconds));
    const tasks = this.#tasks.get(time);
    if (tasks === undefined) {
      this.#tasks.set(time, [task]);
    } else {
      tasks.push(task);
    }
  }

  runFor(milliseconds: number): void {
    const end = this.#now + milliseconds;
    while (this.#now < end) {
      this.#now += 1;
      const tasks = this.#tasks.get(this.#now) ?? [];
      this.#tasks.delete(this.#now);
      tasks.forEach((task) => task());
    }
  }
}
