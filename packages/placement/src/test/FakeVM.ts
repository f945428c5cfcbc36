import {
  FencingNumber, Incarnation, type Replica, type ReplicaId, type ServiceId, type VMPhase, type VMRecord,
  type VMReport,
} from '@dandelionlane/core';
import type FleetSettings from './FleetSettings.js';

/** How long the list keeps a VM that is gone for good. */
const LIST_LAG_MILLISECONDS = 20_000;

/** A VM of the fake fleet: what it truly does, and what is known of it. Its engine ignores fencing. */
export default class FakeVM {
  phase: VMPhase = 'empty';

  replica: ReplicaId | null = null;

  isLeaving = false;

  /** Share of the weights still to be loaded. */
  loadRemaining = 0;

  /** Down until then; Infinity when it is gone for good. */
  downUntilMilliseconds = 0;

  /** Reports do not arrive until then. */
  silentUntilMilliseconds = 0;

  /** Neither reports nor orders arrive until then; the engine runs on. */
  cutOffUntilMilliseconds = 0;

  /** The platform's list leaves the VM out from the first time until the second. */
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

  #startLeftMilliseconds = 0;

  #warmAtMilliseconds = 0;

  /** When the running requests have ended; 0 unless it drains. */
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

  /** Goes down for a time and comes back empty. For ever: it leaves the list. */
  crash(now: number, milliseconds: number): void {
    this.unload();
    this.downUntilMilliseconds = now + milliseconds;
    if (milliseconds === Infinity) {
      this.unlistedFromMilliseconds = now + LIST_LAG_MILLISECONDS;
      this.unlistedUntilMilliseconds = Infinity;
    }
    this.#incarnation += 1;
  }

  /** The list leaves the VM out for a time, unless it does so already. */
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
    this.#startLeftMilliseconds = this.settings.startMilliseconds;
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

  /** No new requests arrive; those that run end in time. */
  drain(now: number): void {
    if (this.#runningRequests === 0 || this.#idleAtMilliseconds > 0) return;
    this.#idleAtMilliseconds = now + this.settings.drainMilliseconds;
  }

  /** Works for a time. `loadSpeed` is the share of full speed that the weight store gives. */
  advance(now: number, milliseconds: number, loadSpeed: number): void {
    if (!this.isUp(now)) return;
    if (this.phase === 'loading') this.#continueLoad(now, milliseconds, loadSpeed);
    if (this.phase === 'cold' && this.#warmAtMilliseconds <= now) this.phase = 'warm';
    if (this.#idleAtMilliseconds > 0 && this.#idleAtMilliseconds <= now) this.#runningRequests = 0;
  }

  /** Sends a report, which arrives unless the VM is down or cut off. */
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
    } else if (this.#startLeftMilliseconds > 0) {
      this.#startLeftMilliseconds -= milliseconds;
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
