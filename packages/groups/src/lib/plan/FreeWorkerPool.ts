import type { FabricDomainId, ModelName, WorkerId } from '@dandelionlane/core';
import type FleetObservation from '../observation/FleetObservation.js';
import type ObservedWorker from '../observation/ObservedWorker.js';
import assessLiveness from '../observation/assessLiveness.js';
import STRAGGLER_SLOWDOWN from './STRAGGLER_SLOWDOWN.js';
import type GroupRecord from './GroupRecord.js';
import isWarmingUp from './isWarmingUp.js';

/** Workers of one service that are healthy and available for a group, including ones that are warming up. */
export default class FreeWorkerPool {
  readonly #free = new Map<FabricDomainId | null, Set<ObservedWorker>>();

  constructor(
    observation: FleetObservation,
    records: readonly GroupRecord[],
    candidates: readonly WorkerId[],
  ) {
    const taken = new Set(records.flatMap(({ members }) => members
      .filter((member) => observation.findInstance(member) !== undefined)
      .map(({ id }) => id)));
    candidates.map((id) => observation.workers.get(id))
      .filter((observed) => observed !== undefined)
      .filter((observed) => assessLiveness(observed) === 'alive' && !taken.has(observed.worker.id))
      .filter((observed) => observed.report?.group === null || isWarmingUp(observed))
      .filter(({ report }) => report !== null && report.slowdown < STRAGGLER_SLOWDOWN)
      .forEach((observed) => {
        const free = this.#free.get(observed.worker.domain) ?? new Set();
        this.#free.set(observed.worker.domain, free.add(observed));
      });
  }

  /** Free workers of a domain. */
  inDomain(domain: FabricDomainId | null): readonly ObservedWorker[] {
    return [...this.#free.get(domain) ?? []];
  }

  /** Number of free workers of a domain. */
  countIn(domain: FabricDomainId | null): number {
    return this.#free.get(domain)?.size ?? 0;
  }

  /** Number of free workers of a domain whose hosts have the weights of a model. */
  countStagedIn(domain: FabricDomainId | null, model: ModelName): number {
    return this.inDomain(domain).filter((observed) => FreeWorkerPool.isStaged(observed, model)).length;
  }

  /** Domains that have free workers. */
  domains(): readonly (FabricDomainId | null)[] {
    return [...this.#free].filter(([, { size }]) => size > 0).map(([domain]) => domain);
  }

  /**
   * Removes and returns workers of a domain; null if too few. Ones with the model's weights come first,
   * ones with those of other models last.
   */
  take(domain: FabricDomainId | null, model: ModelName, count: number): readonly ObservedWorker[] | null {
    const workers = this.inDomain(domain);
    if (workers.length < count) {
      return null;
    }
    const staged = workers.filter((observed) => FreeWorkerPool.isStaged(observed, model));
    const countStagedModels = ({ report }: ObservedWorker) => report?.stagedModels.length ?? 0;
    const others = workers.filter((observed) => !FreeWorkerPool.isStaged(observed, model))
      .sort((left, right) => countStagedModels(left) - countStagedModels(right));
    const chosen = [...staged, ...others].slice(0, count);
    chosen.forEach((observed) => this.#free.get(domain)?.delete(observed));
    return chosen;
  }

  /** Whether the worker's host has the weights of a model. */
  static isStaged({ report }: ObservedWorker, model: ModelName): boolean {
    return report?.stagedModels.includes(model) ?? false;
  }
}
