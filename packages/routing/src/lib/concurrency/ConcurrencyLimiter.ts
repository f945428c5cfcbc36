import hasSameIncarnations from '../presence/hasSameIncarnations.js';
import type ReplicaAssessment from '../presence/ReplicaAssessment.js';
import type WholeReplica from '../presence/WholeReplica.js';
import type DispatchTicket from './DispatchTicket.js';
import GRANT_TERM_MILLISECONDS from './GRANT_TERM_MILLISECONDS.js';
import type GrantSnapshot from './GrantSnapshot.js';
import type HolderExcess from './HolderExcess.js';

/** Failures in a row that count as a fall back into cold start. */
const CONSECUTIVE_FAILURES_THRESHOLD = 3;

/** After a sign of a fall, warm reports that arrive within this time may be of before it. */
const SUSPICION_MILLISECONDS = 3_000;

/** What each success adds to the limit while the target is warm. */
const GROWTH_PER_SUCCESS = 1;

/**
 * Limit on the requests that one entry has in flight on one replica.
 *
 * Invariants: the limit is 0 when the grant has run out or the last assessment is
 * not whole or out of date. It is above the cold grant only while every member
 * is reported warm by a fresh report of the incarnations that the growth was
 * measured on. Requests of before a reset count as in flight but do not let the
 * limit grow.
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
   * An entry that starts anew under its former id gives the time at which requests
   * of its former process have ended at the latest, its start and the request timeout.
   * Until then it sends nothing to a cold replica, since the grant may be in use.
   */
  constructor(snapshot: GrantSnapshot, formerRequestsEndMilliseconds = -Infinity) {
    this.#snapshot = snapshot;
    this.#formerRequestsEndMilliseconds = formerRequestsEndMilliseconds;
    this.#resetGrowth();
  }

  /** Requests in flight, those of before a reset included. */
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

  /** Takes in an assessment of the replica. A fall to cold resets the growth. */
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

  /** Notes that a request is sent. Call it only while `available` is above 0. */
  recordDispatch(): DispatchTicket {
    this.#inFlight += 1;
    return { epoch: this.#epoch, inFlight: this.#inFlight };
  }

  /**
   * Notes that a request ended. `failure`: an error, a timeout or a refusal of the
   * target. `lost`: its connection broke, which one restart of a member does to all.
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
   * What the entry adds when it acknowledges the row that it has read last. Null while
   * its former process may have requests in flight: then it must not acknowledge.
   */
  excess(monotonicMilliseconds: number): HolderExcess | null {
    if (monotonicMilliseconds < this.#formerRequestsEndMilliseconds) {
      return null;
    }
    const { cold, warm } = this.#snapshot.grant;
    return { cold: Math.max(0, this.#inFlight - cold), warm: Math.max(0, this.#inFlight - warm) };
  }

  /** Requests that may be in flight at this time. */
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

  /** Requests that may be sent now. */
  available(monotonicMilliseconds: number): number {
    return Math.max(0, this.allowed(monotonicMilliseconds) - this.#inFlight);
  }

  /** A warm target gets at least one request, else its growth could never begin. */
  #minimumWarmLimit(): number {
    return Math.max(1, this.#snapshot.grant.cold);
  }

  /** Whether the warm reports at hand may predate a fall that failures point to. */
  #isSuspected(): boolean {
    return this.#whole !== undefined
      && this.#whole.receivedAtMilliseconds < this.#suspectedUntilMilliseconds;
  }

  #recordSuccess(ticket: DispatchTicket): void {
    this.#consecutiveFailures = 0;
    // A limit that was not nearly reached has not been measured.
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

  /** Takes the replica for cold until reports come that were made after this time. */
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
