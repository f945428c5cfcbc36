import type FleetSnapshot from './FleetSnapshot.js';
import hasWeights from './hasWeights.js';
import type ServiceView from './ServiceView.js';

/** Limits how many VMs load weights from the rate-limited weight store concurrently. */
export default class LoadBudget {
  readonly #limit: number;

  #used = 0;

  #isClosed = false;

  constructor(services: readonly ServiceView[], fleet: FleetSnapshot) {
    this.#limit = fleet.limits.concurrentLoads;
    for (const view of services) {
      if (view.definition?.kind === 'model') this.#addLoading(view, fleet);
    }
  }

  #addLoading(view: ServiceView, fleet: FleetSnapshot): void {
    for (const { replica } of view.loading) {
      for (const { vm } of replica.members) {
        const observation = fleet.observation(vm);
        const isLoaded = observation !== undefined
          && hasWeights(observation, replica.service, replica.version);
        if (!isLoaded) this.#used += 1;
      }
    }
  }

  /** Whether that many loads may start. A group larger than the limit may load while no other does. */
  allows(loads: number, share = 1): boolean {
    if (loads === 0) return true;
    if (this.#isClosed) return false;
    return this.#used === 0 || this.#used + loads <= this.#limit * share;
  }

  /** Rejects further loads in this plan, so that smaller groups cannot starve a large one that waits. */
  close(): void {
    this.#isClosed = true;
  }

  reserve(loads: number): void {
    this.#used += loads;
  }
}
