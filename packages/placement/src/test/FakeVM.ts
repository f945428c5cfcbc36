import {
  FencingNumber, Incarnation, type Replica, type ReplicaId, type ServiceId, type VMPhase, type VMRecord,
  type VMReport,
} from '@dandelionlane/core';
import type FleetSettings from './FleetSettings.js';

/** Time for which the list still contains a VM that is permanently gone. */
const LIST_LAG_MILLISECONDS = 20_000;

/** A simulated VM: its true state and its last received report. Its engine ignores fencing. */
export default class FakeVM {
  phase: VMPhase = 'empty';

  replica: ReplicaId | null = null;

  isLeaving = false;

  /** Share of the weights that is not loaded yet. */
  loadRemaining = 0;

  /** Time until which the VM is down; Infinity when it is permanently gone. */
  downUntilMilliseconds = 0;

  /** Time until which no report arrives. */
  silentUntilMilliseconds = 0;

  /** Time until which neither reports nor orders arrive; the engine continues to run. */
  cutOffUntilMilliseconds = 0;

  /** The platform's list omits the VM from this time until `unlistedUntilMilliseconds`. */
  unlistedFromMilliseconds = Infinity;

  unlistedUntilMilliseconds = Infinity;

  lastReportedMilliseconds = 0;

  lastReport: VMReport | null = null;

  #service: ServiceId | null = null;

  #version: string | null = null;

  #fencing = FencingNumber.parse(0);

  #incarnation = 1;

  #sequence = 0;

  #runningRequests = 0;

  #startRemainingMilliseconds = 0;

  #warmAtMilliseconds = 0;

  /** Time at which the running requests have ended; 0 unless the VM drains. */
  #idleAtMilliseconds = 0;

  constructor(readonly record: VMRecord, private readonly settings: FleetSettings) {}

  isUp(now: number): boolean {
    return this.downUntilMilliseconds <= now;
  }

  isCutOff(now: number): boolean {
    return this.cutOffUntilMilliseconds > now;
  }

  isUnlisted(now: number): boolean {
    return this.unlistedFromMilliseconds <= now && now < this.unlistedUntilMilliseconds;
  }

  /** Takes the VM down, to return empty after that time. With Infinity it also leaves the list. */
  crash(now: number, milliseconds: number): void {
    this.unload();
    this.downUntilMilliseconds = now + milliseconds;
    if (milliseconds === Infinity) {
      this.unlistedFromMilliseconds = now + LIST_LAG_MILLISECONDS;
      this.unlistedUntilMilliseconds = Infinity;
    }
    this.#incarnation += 1;
  }

  /** Omits the VM from the list for a time, unless it is already omitted. */
  unlist(now: number, milliseconds: number): void {
    if (this.downUntilMilliseconds === Infinity || this.isUnlisted(now)) return;
    this.unlistedFromMilliseconds = now;
    this.unlistedUntilMilliseconds = now + milliseconds;
  }

  load({
    replica, service, version, fencing,
  }: Replica): void {
    if (this.replica === replica) return;
    const hasWeights = this.#service === service && this.#version === version && this.phase !== 'loading';
    this.loadRemaining = hasWeights || this.record.accelerators === 0 ? 0 : 1;
    this.#startRemainingMilliseconds = this.settings.startMilliseconds;
    this.phase = 'loading';
    this.replica = replica;
    this.#service = service;
    this.#version = version;
    this.#fencing = fencing;
    this.#runningRequests = 0;
    this.#idleAtMilliseconds = 0;
  }

  unload(): void {
    this.phase = 'empty';
    this.replica = null;
    this.#service = null;
    this.#version = null;
    this.#runningRequests = 0;
    this.#idleAtMilliseconds = 0;
    this.loadRemaining = 0;
  }

  /** Stops new requests; running ones finish within the drain time. */
  drain(now: number): void {
    if (this.#runningRequests === 0 || this.#idleAtMilliseconds > 0) return;
    this.#idleAtMilliseconds = now + this.settings.drainMilliseconds;
  }

  /** Advances the engine. `loadSpeed` is the share of full speed at which the weight store delivers. */
  advance(now: number, milliseconds: number, loadSpeed: number): void {
    if (!this.isUp(now)) return;
    if (this.phase === 'loading') this.#continueLoad(now, milliseconds, loadSpeed);
    if (this.phase === 'cold' && this.#warmAtMilliseconds <= now) this.phase = 'warm';
    if (this.#idleAtMilliseconds > 0 && this.#idleAtMilliseconds <= now) this.#runningRequests = 0;
  }

  /** Sends a report, which arrives unless the VM is down, silent or cut off. */
  report(now: number): void {
    if (!this.isUp(now) || this.isCutOff(now) || this.silentUntilMilliseconds > now) return;
    this.lastReportedMilliseconds = now;
    const last = this.lastReport;
    const isSame = last !== null && last.incarnation === this.#incarnation && last.phase === this.phase
      && last.replica === this.replica && last.leaving === this.isLeaving
      && last.runningRequests === this.#runningRequests;
    if (!isSame) this.lastReport = this.#createReport();
  }

  #continueLoad(now: number, milliseconds: number, loadSpeed: number): void {
    if (this.loadRemaining > 0) {
      const share = (milliseconds * loadSpeed) / this.settings.loadMilliseconds;
      this.loadRemaining = Math.max(0, this.loadRemaining - share);
    } else if (this.#startRemainingMilliseconds > 0) {
      this.#startRemainingMilliseconds -= milliseconds;
    } else {
      this.phase = 'cold';
      this.#runningRequests = 1;
      this.#warmAtMilliseconds = now + this.settings.warmUpMilliseconds;
    }
  }

  #createReport(): VMReport {
    this.#sequence += 1;
    return {
      vm: this.record.vm,
      incarnation: Incarnation.parse(this.#incarnation),
      sequence: this.#sequence,
      phase: this.phase,
      replica: this.replica,
      service: this.#service,
      version: this.#version,
      fencing: this.#fencing,
      leaving: this.isLeaving,
      runningRequests: this.#runningRequests,
      waitingRequests: 0,
      outstandingTokens: 0,
    };
  }
}
