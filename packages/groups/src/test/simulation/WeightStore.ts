/** Loads that the store serves at full speed at the same time. */
const LOADS_AT_FULL_SPEED = 20;

/** Speed-up of loads before the first request. */
const BOOTSTRAP_SPEED = 10;

/** The shared store of weights: loads slow each other down beyond a limit. */
export default class WeightStore {
  readonly #loads = new Map<object, number>();

  /** Number of loads that were started after the bootstrap. */
  started = 0;

  isBootstrapping = true;

  /** Begins a load that takes this long on its own; it replaces an earlier one of the same worker. */
  begin(worker: object, milliseconds: number): void {
    this.started += this.isBootstrapping ? 0 : 1;
    this.#loads.set(worker, milliseconds);
  }

  cancel(worker: object): void {
    this.#loads.delete(worker);
  }

  isLoading(worker: object): boolean {
    return this.#loads.has(worker);
  }

  /** Advances all loads. */
  advance(milliseconds: number): void {
    const speed = Math.min(1, LOADS_AT_FULL_SPEED / this.#loads.size)
      * (this.isBootstrapping ? BOOTSTRAP_SPEED : 1);
    this.#loads.forEach((remaining, worker) => {
      if (remaining <= milliseconds * speed) {
        this.#loads.delete(worker);
      } else {
        this.#loads.set(worker, remaining - milliseconds * speed);
      }
    });
  }
}
