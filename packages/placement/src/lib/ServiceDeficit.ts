import compareText from './compareText.js';
import countFittingMembers from './countFittingMembers.js';
import countHoldingMembers from './countHoldingMembers.js';
import countSpread from './countSpread.js';
import type FleetSnapshot from './FleetSnapshot.js';
import type ReplicaShape from './ReplicaShape.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceView from './ServiceView.js';
import shapeOf from './shapeOf.js';
import type SpreadCount from './SpreadCount.js';

/** A drained replica can be rebuilt, since no request in flight would be interrupted. */
function isDrained(view: ReplicaView, fleet: FleetSnapshot): boolean {
  return view.isIdle && view.stateMilliseconds >= fleet.limits.drainNoticeMilliseconds;
}

function compareRepairable(left: ReplicaView, right: ReplicaView): number {
  return countHoldingMembers(right) - countHoldingMembers(left)
    || compareText(left.replica.replica, right.replica.replica);
}

/** Number of missing replicas, capped by the surge limit while replicas of another version serve. */
function countMissing(view: ServiceView, surgeShare: number): number {
  const current = view.serving.length + view.loading.length;
  const missing = view.wanted - current;
  if (view.outdated.length === 0) return missing;
  const surge = Math.max(1, Math.ceil(view.wanted * surgeShare));
  return Math.min(missing, view.wanted + surge - current - view.outdated.length);
}

/** Tracks the replicas that one service still lacks during a plan. */
export default class ServiceDeficit {
  readonly view: ServiceView;

  readonly shape: ReplicaShape;

  readonly spread: SpreadCount;

  /** Replicas whose VMs can be reused: broken ones, then drained ones, most remaining members first. */
  readonly repairable: ReplicaView[];

  #missing: number;

  #covered: number;

  #lacksCapacity = false;

  #isFinished = false;

  private constructor(view: ServiceView, shape: ReplicaShape, missing: number, fleet: FleetSnapshot) {
    this.view = view;
    this.shape = shape;
    this.spread = countSpread([...view.serving, ...view.loading]);
    this.#missing = missing;
    this.#covered = view.serving.length + view.loading.length + view.outdated.length;
    const drained = view.draining.filter((replica) => !replica.isOutdated && isDrained(replica, fleet));
    this.repairable = [...[...view.broken].sort(compareRepairable), ...drained.sort(compareRepairable)];
  }

  /** Creates the deficit of a service, or null when no replica is missing. */
  static from(view: ServiceView, fleet: FleetSnapshot): ServiceDeficit | null {
    const missing = countMissing(view, fleet.limits.surgeShare);
    if (view.definition === null || missing <= 0) return null;
    return new ServiceDeficit(view, shapeOf(view.definition), missing, fleet);
  }

  /** Whether this plan cannot add any more replicas to the service. */
  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Whether no domain had enough free VMs for a new replica. */
  get lacksCapacity(): boolean {
    return this.#lacksCapacity;
  }

  /** Share of the wanted replicas that serve, load or were added by this plan. */
  get coveredShare(): number {
    return this.#covered / this.view.wanted;
  }

  /** Share of the wanted replicas that serve. */
  get servingShare(): number {
    return (this.view.serving.length + this.view.outdated.length) / this.view.wanted;
  }

  recordAdded(): void {
    this.#missing -= 1;
    this.#covered += 1;
    this.#isFinished = this.#missing <= 0;
  }

  /** Whether the service lacks capacity that the VMs of the given replica would provide. */
  wouldFitOn(view: ReplicaView, fleet: FleetSnapshot): boolean {
    return this.#lacksCapacity && countFittingMembers(view, this.shape, fleet) >= this.shape.vmsPerReplica;
  }

  recordNoCapacity(): void {
    this.#lacksCapacity = true;
    this.#isFinished = true;
  }

  recordNoBudget(): void {
    this.#isFinished = true;
  }
}
