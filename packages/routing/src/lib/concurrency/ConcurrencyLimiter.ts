import hasSameIncarnations from '../presence/hasSameIncarnations.js';
import type ReplicaAssessment from '../presence/ReplicaAssessment.js';
import type WholeReplica from '../presence/WholeReplica.js';
import type DispatchTicket from './DispatchTicket.js';
import GRANT_TERM_MILLISECONDS from './GRANT_TERM_MILLISECONDS.js';
import type GrantSnapshot from './GrantSnapshot.js';
import type HolderExcess from './HolderExcess.js';

/** Consecutive failures after which the replica is suspected of a cold restart. */
const CONSECUTIVE_FAILURES_THRESHOLD = 3;

/** Time after a suspected cold restart in which arriving warm reports may predate it. */
const SUSPICION_MILLISECONDS = 3_000;

/** Added to the limit by each success while the target is warm. */
const GROWTH_PER_SUCCESS = 1;

/**
 * Limits the requests that one entry has in flight at one replica.
 *
 * Invariants: the limit is 0 when the grant has expired or the last assessment is not
 * whole or stale. It exceeds the cold grant only while fresh reports show every member
 * warm and in the same incarnation as when the limit grew.
 * Requests sent before a reset count as in flight but do not raise the limit.
 */
export default class ConcurrencyLimiter {
  #snapshot: GrantSnapshot;

  #formerRequestsEndMilliseconds: number;

  #whole: WholeReplica | undefined;

  #warmLimit = 0;

  #consecutiveFailures = 0;

  #suspectedUntilMilliseconds = -Infinity;

  #epoch = 0;

  #inFlight = 0;

  /**
   * An entry that restarts under the same id passes the time by which all requests of
   * its former process have ended: its start time plus the request timeout. Until then it
   * sends nothing to a cold replica, since those requests may still use the grant.
   */
  constructor(snapshot: GrantSnapshot, formerRequestsEndMilliseconds = -Infinity) {
    this.#snapshot = snapshot;
    this.#formerRequestsEndMilliseconds = formerRequestsEndMilliseconds;
    this.#resetGrowth();
  }

  /** Requests in flight, including those sent before a reset. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Records a read of the grant in the placement row, changed or not. */
  updateGrant(snapshot: GrantSnapshot): void {
    const current = this.#snapshot;
    if (snapshot.version < current.version) {
      return;
    }
    const readAtMilliseconds = Math.max(snapshot.readAtMilliseconds, current.readAtMilliseconds);
    this.#snapshot = { ...snapshot, readAtMilliseconds };
  }

  /** Records an assessment of the replica. A cold phase or a changed member resets the grown limit. */
  updateAssessment(assessment: ReplicaAssessment): void {
    if (assessment.kind === 'not-whole') {
      this.#whole = undefined;
      this.#resetGrowth();
      return;
    }
    const previous = this.#whole;
    this.#whole = assessment;
    const isUnchanged = previous !== undefined
      && hasSameIncarnations(previous.members, assessment.members);
    if (!isUnchanged || assessment.phase === 'cold') {
      this.#resetGrowth();
    }
  }

  /** Records the dispatch of a request. Call it only while `available` is above 0. */
  recordDispatch(): DispatchTicket {
    this.#inFlight += 1;
    return { epoch: this.#epoch, inFlight: this.#inFlight };
  }

  /**
   * Records the end of a request. `failure`: an error, a timeout or a refusal by the
   * target. `lost`: its connection broke, as the restart of a member breaks all of them.
   */
  recordCompletion(
    ticket: DispatchTicket,
    outcome: 'success' | 'failure' | 'lost',
    monotonicMilliseconds: number,
  ): void {
    this.#inFlight -= 1;
    if (ticket.epoch !== this.#epoch) {
      return;
    }
    switch (outcome) {
      case 'success':
        this.#recordSuccess(ticket);
        return;
      case 'failure':
        this.#recordFailure(monotonicMilliseconds);
        return;
      case 'lost':
        this.#suspectColdRestart(monotonicMilliseconds);
        return;
      default:
        outcome satisfies never;
    }
  }

  /**
   * Requests in flight beyond the grant, which the entry reports when it acknowledges the
   * placement row it read last. Null while its former process may have requests in flight:
   * the entry must not acknowledge then.
   */
  excess(monotonicMilliseconds: number): HolderExcess | null {
    if (monotonicMilliseconds < this.#formerRequestsEndMilliseconds) {
      return null;
    }
    const { cold, warm } = this.#snapshot.grant;
    return { cold: Math.max(0, this.#inFlight - cold), warm: Math.max(0, this.#inFlight - warm) };
  }

  /** The limit on requests in flight at this time. */
  allowed(monotonicMilliseconds: number): number {
    const { grant, readAtMilliseconds } = this.#snapshot;
    if (monotonicMilliseconds - readAtMilliseconds >= GRANT_TERM_MILLISECONDS) {
      return 0;
    }
    if (this.#whole === undefined || monotonicMilliseconds >= this.#whole.freshUntilMilliseconds) {
      return 0;
    }
    if (this.#whole.phase === 'cold' || this.#isSuspected()) {
      const isGrantInUse = monotonicMilliseconds < this.#formerRequestsEndMilliseconds;
      return isGrantInUse ? 0 : Math.min(grant.cold, grant.warm);
    }
    return Math.min(Math.max(this.#warmLimit, this.#minimumWarmLimit()), grant.warm);
  }

  /** Requests that may be sent at this time. */
  available(monotonicMilliseconds: number): number {
    return Math.max(0, this.allowed(monotonicMilliseconds) - this.#inFlight);
  }

  /** A warm target gets at least one request; without any success its limit could never grow. */
  #minimumWarmLimit(): number {
    return Math.max(1, this.#snapshot.grant.cold);
  }

  /** Whether the latest reports may predate a suspected cold restart. */
  #isSuspected(): boolean {
    return this.#whole !== undefined
      && this.#whole.receivedAtMilliseconds < this.#suspectedUntilMilliseconds;
  }

  #recordSuccess(ticket: DispatchTicket): void {
    this.#consecutiveFailures = 0;
    // A success far below the limit does not show that the target can take more.
    const isInUse = ticket.inFlight >= this.#warmLimit / 2;
    if (this.#whole?.phase === 'warm' && !this.#isSuspected() && isInUse) {
      const grown = Math.max(this.#warmLimit, this.#minimumWarmLimit()) + GROWTH_PER_SUCCESS;
      this.#warmLimit = Math.min(grown, this.#snapshot.grant.warm);
    }
  }

  #recordFailure(monotonicMilliseconds: number): void {
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures >= CONSECUTIVE_FAILURES_THRESHOLD) {
      this.#suspectColdRestart(monotonicMilliseconds);
    }
  }

  /** Treats the replica as cold until reports arrive that cannot predate this time. */
  #suspectColdRestart(monotonicMilliseconds: number): void {
    this.#suspectedUntilMilliseconds = monotonicMilliseconds + SUSPICION_MILLISECONDS;
    this.#resetGrowth();
  }

  #resetGrowth(): void {
    this.#warmLimit = 0;
    this.#consecutiveFailures = 0;
    this.#epoch += 1;
  }
}
