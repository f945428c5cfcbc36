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

/** A replica that has drained may be taken back, as no request on it can be cut. */
function isDrained(view: ReplicaView, fleet: FleetSnapshot): boolean {
  return view.isIdle && view.stateMilliseconds >= fleet.limits.drainNoticeMilliseconds;
}

function compareRepairs(left: ReplicaView, right: ReplicaView): number {
  return countHoldingMembers(right) - countHoldingMembers(left)
    || compareText(left.replica.replica, right.replica.replica);
}

/** Missing replicas, kept below the surge limit while replicas of another version serve. */
function countMissing(view: ServiceView, surgeShare: number): number {
  const current = view.serving.length + view.loading.length;
  const missing = view.wanted - current;
  if (view.outdated.length === 0) return missing;
  const surge = Math.max(1, Math.ceil(view.wanted * surgeShare));
  return Math.min(missing, view.wanted + surge - current - view.outdated.length);
}

/** What one service still needs while a plan is made. */
export default class ServiceDeficit {
  readonly view: ServiceView;

  readonly shape: ReplicaShape;

  readonly spread: SpreadCount;

  /** Replicas whose VMs may be reused, those with the most left first. */
  readonly repairable: ReplicaView[];

  #missing: number;

  #covered: number;

  #hasNoRoom = false;

  #isSettled = false;

  private constructor(view: ServiceView, shape: ReplicaShape, missing: number, fleet: FleetSnapshot) {
    this.view = view;
    this.shape = shape;
    this.spread = countSpread([...view.serving, ...view.loading]);
    this.#missing = missing;
    this.#covered = view.serving.length + view.loading.length + view.outdated.length;
    const drained = view.draining.filter((replica) => !replica.isOutdated && isDrained(replica, fleet));
    this.repairable = [...[...view.broken].sort(compareRepairs), ...drained.sort(compareRepairs)];
  }

  /** The need of a service, or null when it has all it wants. */
  static from(view: ServiceView, fleet: FleetSnapshot): ServiceDeficit | null {
    const missing = countMissing(view, fleet.limits.surgeShare);
    if (view.definition === null || missing <= 0) return null;
    return new ServiceDeficit(view, shapeOf(view.definition), missing, fleet);
  }

  /** Whether the plan can do no more for the service. */
  get isFinished(): boolean {
    return this.#isSettled;
  }

  /** Whether no domain had room for a new replica. */
  get lacksCapacity(): boolean {
    return this.#hasNoRoom;
  }

  /** Share of the wanted replicas that serve, load or have been added by this plan. */
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
    this.#isSettled = this.#missing <= 0;
  }

  /** Whether the VMs of a leaving replica would give this need the room that it lacks. */
  wouldFitOn(view: ReplicaView, fleet: FleetSnapshot): boolean {
    return this.#hasNoRoom && countFittingMembers(view, this.shape, fleet) >= this.shape.vmsPerReplica;
  }

  recordNoCapacity(): void {
    this.#hasNoRoom = true;
    this.#isSettled = true;
  }

  recordNoBudget(): void {
    this.#isSettled = true;
  }
}
