import type { Clock, WorkerId } from '@dandelionlane/core';
import LocalConditions from './LocalConditions.js';
import MAXIMUM_SLOWDOWN from './MAXIMUM_SLOWDOWN.js';
import type TargetLimit from './TargetLimit.js';
import TargetState from './TargetState.js';
import TypicalValue from './TypicalValue.js';

/** Age up to which the loads shared by all entries are used, in ms: several messages. */
const SHARED_AGE_MILLISECONDS = 600;

/** Lowest shared slowdown that is plausible: that of a target twenty times as fast as configured. */
const LOWEST_SHARED_SLOWDOWN = 0.05;

/** Time for which shared progress is remembered, in ms: longer than any silence that is still usual. */
const PROGRESS_MEMORY_MILLISECONDS = 10_000;

/** Requests of all entries at a target. */
interface SharedLoad {
  readonly worker: WorkerId;
  readonly outstanding: number;
  readonly unreadTokens: number;
  /** Slowdown that all entries have measured; undefined where they have too few samples. */
  readonly slowdown?: number | undefined;
}

/** States of all targets that this process has used. */
export default class TargetStates {
  readonly #clock: Clock;

  readonly #states = new Map<WorkerId, TargetState>();

  /** What this entry sees at most targets, and whether it has stalled. */
  readonly conditions: LocalConditions;

  /** Typical values by what they were measured of; as many as there are routes and models. */
  readonly #typicalValues = new Map<string, TypicalValue>();

  /** Targets that are gone and whose state is kept for a while. */
  readonly #dropped = new Set<WorkerId>();

  /** Monotonic time at which progress of each formation was last shared, in ms. */
  readonly #progressedAt = new Map<string, number>();

  /** Monotonic time since which the loads of the other entries are not known, in ms. */
  #unsharedSince: number;

  /** A slowdown that another entry cannot have measured, since it was last taken; null without one. */
  #implausible: { readonly worker: WorkerId; readonly slowdown: number } | null = null;

  /** @param maximumSlowdown Largest slowdown of targets that choices take into account. */
  constructor(clock: Clock, maximumSlowdown?: number) {
    this.#clock = clock;
    this.#unsharedSince = clock.monotonicMilliseconds();
    this.conditions = new LocalConditions(
      clock,
      () => [...this.#states.values()]
        .map(({ kind, ownSlowdown, speed }) => ({ kind, own: ownSlowdown, shared: speed.sharedSlowdown })),
      maximumSlowdown,
    );
  }

  /** The typical value of something that is measured of several targets. */
  typicalValueOf(measured: string): TypicalValue {
    const known = this.#typicalValues.get(measured);
    if (known !== undefined) {
      return known;
    }
    const value = new TypicalValue();
    this.#typicalValues.set(measured, value);
    return value;
  }

  /** Records the requests of all entries, including this one. Model targets that are not listed have none. */
  recordSharedLoads(loads: readonly SharedLoad[]): void {
    this.#unsharedSince = this.#clock.monotonicMilliseconds() + SHARED_AGE_MILLISECONDS;
    loads.forEach(({
      worker, outstanding, unreadTokens, slowdown,
    }) => {
      if (slowdown !== undefined && (slowdown < LOWEST_SHARED_SLOWDOWN || slowdown > MAXIMUM_SLOWDOWN)) {
        this.#implausible = { worker, slowdown };
      }
      this.of(worker).recordSharedLoad(outstanding, unreadTokens, slowdown ?? null);
    });
  }

  /** Takes the last implausible slowdown that was shared. It was clamped. */
  takeImplausible(): { readonly worker: WorkerId; readonly slowdown: number } | null {
    const implausible = this.#implausible;
    this.#implausible = null;
    return implausible;
  }

  /** Records that streams of these formations, named `name/epoch`, just delivered events to any entry. */
  recordSharedProgress(formations: readonly string[]): void {
    const now = this.#clock.monotonicMilliseconds();
    this.#progressedAt.forEach((at, formation) => {
      if (now - at > PROGRESS_MEMORY_MILLISECONDS) {
        this.#progressedAt.delete(formation);
      }
    });
    formations.forEach((formation) => this.#progressedAt.set(formation, now));
  }

  /** Monotonic time at which progress of a formation at any entry was last shared, in ms. */
  sharedProgressAt(formation: string): number {
    return this.#progressedAt.get(formation) ?? Number.NEGATIVE_INFINITY;
  }

  /** What targets said about their limits, where that is news for the other entries, or all of it. */
  limitsToTell(tellsAll = false): readonly TargetLimit[] {
    return [...this.#states].flatMap(([id, state]) => {
      const limit = state.limit.toTell(tellsAll);
      return limit === null ? [] : [{ id, ...limit }];
    });
  }

  /**
   * Records what other entries have heard from targets about their limits.
   * @param ageMilliseconds Time since it was received, in ms.
   */
  recordSharedLimits(limits: readonly TargetLimit[], ageMilliseconds = 0): void {
    limits.forEach(({ id, ageMilliseconds: age, ...limit }) => {
      this.of(id).limit.record(limit, age + ageMilliseconds);
    });
  }

  /** Tells all limits again: the receiver may not know them. */
  tellLimitsAgain(): void {
    this.#states.forEach(({ limit }) => limit.tellAgain());
  }

  /** Time for which the loads of the other entries have not been known, in ms; 0 while they are known. */
  get unsharedMilliseconds(): number {
    return Math.max(0, this.#clock.monotonicMilliseconds() - this.#unsharedSince);
  }

  of(worker: WorkerId): TargetState {
    this.#dropped.delete(worker);
    const known = this.#states.get(worker);
    if (known !== undefined) {
      return known;
    }
    const state = new TargetState(this.#clock, this.conditions);
    this.#states.set(worker, state);
    return state;
  }

  all(): Iterable<TargetState> {
    return this.#states.values();
  }

  /** States by target. */
  entries(): Iterable<[WorkerId, TargetState]> {
    return this.#states.entries();
  }

  /**
   * Removes the state of a target that is gone. It is kept while requests are held off, as the target may
   * register again, and while streams run there, as they still have to move away if it stalls.
   */
  drop(worker: WorkerId): void {
    this.#dropped.add(worker);
    this.#dropped.forEach((id) => {
      const state = this.#states.get(id);
      if (state === undefined || (!state.isHeldOff && state.streams.size === 0)) {
        this.#states.delete(id);
        this.#dropped.delete(id);
      }
    });
  }
}
