import type { Clock, PromptPartId } from '@dandelionlane/core';
import type HeldBack from './HeldBack.js';
import type PartEvidence from './PartEvidence.js';
import type TargetCrash from './TargetCrash.js';
import PartTrials from './PartTrials.js';
import findQuarantineEnd from './findQuarantineEnd.js';
import isWholeRequest from './isWholeRequest.js';
import isSameCrash from './isSameCrash.js';

/** Parts with crashes that are remembered. */
const MAXIMUM_PARTS = 256;

/** Crashes of one part that are remembered. */
const MAXIMUM_CRASHES = 32;

/** Parts whose last service is remembered. */
const MAXIMUM_SERVED_PARTS = 2_048;

/** Time for which crashes without a quarantine, or after its end, are remembered, in ms. */
const MEMORY_MILLISECONDS = 600_000;

/** Time for which the end of a suspicion is remembered, in ms: longer than any message is under way. */
const CLEARED_MEMORY_MILLISECONDS = 60_000;

/** Time before crashes are told to other entries, in ms: parts that are in common use are cleared by then. */
const SETTLING_MILLISECONDS = 200;

/** Time for which a change is told, in ms: several messages, as a newer status replaces an unread one. */
const TELLING_MILLISECONDS = SETTLING_MILLISECONDS + 400;

/** Parts told in one message. */
const MAXIMUM_CHANGES = 64;

/** Time after which the trial of a part is likely to have ended, in ms. */
const TRIAL_MILLISECONDS = 2_000;

/** Observations of one part. Times are monotonic, in ms. */
interface PartHistory {
  /** In order of time. */
  crashes: readonly TargetCrash[];
  servedAt: number;
}

/**
 * Finds the parts of prompts that crash targets, and holds requests with them back.
 *
 * A part that targets have begun to answer cannot crash them, so any service ends a suspicion. A crash
 * accuses all parts of the requests that were not answered yet; a part is held back only together with
 * the parts that the same crashes accuse. A request as a whole counts as one more part, which clears no other
 * one: one request may come again before any other with the part that crashes. Entries exchange
 * observations: `merge` is commutative and idempotent but for the delay of messages.
 */
export default class PromptQuarantine {
  readonly #clock: Clock;

  readonly #parts = new Map<PromptPartId, PartHistory>();

  /** Monotonic time of the last service of each part, in ms; the least recent first. */
  readonly #servedAt = new Map<PromptPartId, number>();

  /** Parts with observations that the other entries do not know yet, with the time of the first one. */
  readonly #changedAt = new Map<PromptPartId, number>();

  readonly #trials: PartTrials;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#trials = new PartTrials(clock);
  }

  /** Records that a target has crashed before it had answered a request with these parts. */
  recordCrash(crash: TargetCrash, parts: readonly PromptPartId[]): void {
    new Set(parts).forEach((part) => {
      if (this.#addCrashes(part, [crash])) {
        this.#markChanged(part);
      }
    });
  }

  /** Records that a target has answered a request with these parts and lives on. */
  recordServed(parts: readonly PromptPartId[]): void {
    const now = this.#now();
    // Requests seldom come again: that one was served is worth knowing only if it is under suspicion.
    parts.filter((part) => !isWholeRequest(part) || this.#parts.has(part)).forEach((part) => {
      this.#servedAt.delete(part);
      this.#servedAt.set(part, now);
      if (this.#clear(part, now)) {
        this.#markChanged(part);
      }
    });
    while (this.#servedAt.size > MAXIMUM_SERVED_PARTS) {
      const [oldest] = this.#servedAt.keys();
      this.#servedAt.delete(oldest as PromptPartId);
    }
  }

  /** Returns what holds a request with these parts back, or null. */
  find(parts: readonly PromptPartId[]): HeldBack | null {
    if (this.#parts.size === 0) {
      return null;
    }
    for (const part of parts) {
      const history = this.#parts.get(part);
      const quarantineEnd = history === undefined ? null : this.#findEnd(part, history.crashes);
      if (history !== undefined && quarantineEnd !== null && !this.#trials.isGranted(part)
        && this.#listAccused(history.crashes).every((accused) => (
          parts.includes(accused) || isWholeRequest(accused)
        ))) {
        const remaining = quarantineEnd - this.#now();
        return {
          part,
          retryAfterMilliseconds: Math.max(TRIAL_MILLISECONDS, remaining),
          isTrialDue: remaining <= 0,
        };
      }
    }
    return null;
  }

  /** Records that a request is held back, so that this entry asks for a trial if one is due. */
  recordHeldBack(part: PromptPartId): void {
    this.#trials.ask(part);
  }

  /** Parts that this entry has a request to try with, and whose term is over. */
  trialsSought(): readonly PromptPartId[] {
    const now = this.#now();
    return [...this.#parts].filter(([part, { crashes }]) => {
      const end = this.#trials.isSought(part) ? this.#findEnd(part, crashes) : null;
      return end !== null && end <= now;
    }).map(([part]) => part);
  }

  /** Allows this entry to send one request with each of these parts. */
  grantTrials(granted: readonly PromptPartId[]): void {
    granted.filter((part) => this.#parts.has(part)).forEach((part) => this.#trials.grant(part));
  }

  /** Uses up the trials that a request with these parts is sent by. */
  recordSend(parts: readonly PromptPartId[]): void {
    parts.forEach((part) => this.#trials.use(part));
  }

  /**
   * Adds the observations of another entry.
   * @param ageMilliseconds Time since they were received, in ms.
   * @param forwards Whether they are to be told to further entries.
   */
  merge(
    evidence: readonly PartEvidence[],
    { ageMilliseconds: age, forwards }: { readonly ageMilliseconds: number; readonly forwards: boolean },
  ): void {
    const now = this.#now() - age;
    evidence.forEach(({ part, crashes, servedAgeMilliseconds }) => {
      const cleared = servedAgeMilliseconds !== null && this.#clear(part, now - servedAgeMilliseconds);
      const added = this.#addCrashes(part, crashes.map(({ ageMilliseconds, ...process }) => (
        { ...process, at: now - ageMilliseconds }
      )));
      const isKnownBetter = crashes.length > 0 && (this.#servedAt.get(part) ?? Number.NEGATIVE_INFINITY)
        > Math.max(...crashes.map(({ ageMilliseconds }) => now - ageMilliseconds));
      if (isKnownBetter || (forwards && (cleared || added))) {
        this.#markChanged(part);
      }
    });
  }

  /** Returns what has changed lately, for the other entries. */
  takeChanges(): readonly PartEvidence[] {
    this.#forgetOld();
    const now = this.#now();
    const due = [...this.#changedAt].filter(([part, changedAt]) => (
      now - changedAt >= SETTLING_MILLISECONDS || (this.#parts.get(part)?.crashes.length ?? 0) === 0
    )).map(([part]) => part).slice(0, MAXIMUM_CHANGES);
    due.filter((part) => now - (this.#changedAt.get(part) ?? now) >= TELLING_MILLISECONDS)
      .forEach((part) => this.#changedAt.delete(part));
    return due.flatMap((part) => this.#describe(part));
  }

  /** Returns the observations of the parts that are quarantined. */
  quarantined(): readonly PartEvidence[] {
    return [...this.#parts].filter(([part, { crashes }]) => this.#findEnd(part, crashes) !== null)
      .flatMap(([part]) => this.#describe(part));
  }

  /** Returns all observations, for an entry that knows none. */
  snapshot(): readonly PartEvidence[] {
    this.#forgetOld();
    return [...this.#parts.keys()].flatMap((part) => this.#describe(part));
  }

  /** Tells everything again with the next changes: the receiver is a new one. */
  tellAgain(): void {
    [...this.#parts.keys()].forEach((part) => this.#markChanged(part));
  }

  #markChanged(part: PromptPartId): void {
    if (!this.#changedAt.has(part)) {
      this.#changedAt.set(part, this.#now());
    }
  }

  #describe(part: PromptPartId): readonly PartEvidence[] {
    const now = this.#now();
    const { crashes = [], servedAt = Number.NEGATIVE_INFINITY } = this.#parts.get(part) ?? {};
    const lastServedAt = Math.max(servedAt, this.#servedAt.get(part) ?? Number.NEGATIVE_INFINITY);
    return crashes.length === 0 && !Number.isFinite(lastServedAt) ? [] : [{
      part,
      crashes: crashes.map(({ at, ...process }) => ({ ...process, ageMilliseconds: Math.round(now - at) })),
      servedAgeMilliseconds: Number.isFinite(lastServedAt) ? Math.round(now - lastServedAt) : null,
    }];
  }

  /** Parts that were at each of these crashes. */
  #listAccused(crashes: readonly TargetCrash[]): readonly PromptPartId[] {
    return [...this.#parts].filter(([, other]) => crashes.every((crash) => (
      other.crashes.some((known) => isSameCrash(known, crash))
    ))).map(([part]) => part);
  }

  /** Adds crashes that are not known yet and that no later service refutes. Returns whether there are any. */
  #addCrashes(part: PromptPartId, crashes: readonly TargetCrash[]): boolean {
    const history = this.#parts.get(part);
    const servedAt = Math.max(
      history?.servedAt ?? Number.NEGATIVE_INFINITY,
      this.#servedAt.get(part) ?? Number.NEGATIVE_INFINITY,
    );
    const known = history?.crashes ?? [];
    const added = crashes.filter((crash) => (
      crash.at > servedAt && !known.some((other) => isSameCrash(other, crash))
    ));
    if (added.length === 0) {
      return false;
    }
    const all = [...known, ...added].sort((left, right) => left.at - right.at);
    const kept = all.length <= MAXIMUM_CRASHES
      ? all : [...all.slice(0, MAXIMUM_CRASHES / 2), ...all.slice(-MAXIMUM_CRASHES / 2)];
    if (history === undefined) {
      this.#parts.set(part, { crashes: kept, servedAt });
      this.#forgetLeastSuspect();
    } else {
      history.crashes = kept;
    }
    return true;
  }

  /** Drops the crashes up to a time at which the part was served. Returns whether there were any. */
  #clear(part: PromptPartId, servedAt: number): boolean {
    const history = this.#parts.get(part);
    if (history === undefined || history.servedAt >= servedAt) {
      return false;
    }
    const crashes = history.crashes.filter(({ at }) => at > servedAt);
    const hasChanged = crashes.length < history.crashes.length;
    history.crashes = crashes;
    history.servedAt = servedAt;
    return hasChanged;
  }

  #forgetOld(): void {
    const now = this.#now();
    this.#parts.forEach(({ crashes, servedAt }, part) => {
      const last = crashes.at(-1)?.at ?? Number.NEGATIVE_INFINITY;
      const end = this.#findEnd(part, crashes) ?? last;
      if (now > end + MEMORY_MILLISECONDS && now > servedAt + CLEARED_MEMORY_MILLISECONDS) {
        this.#forget(part);
      }
    });
  }

  /** Keeps the table within its bound: callers choose the names of parts. */
  #forgetLeastSuspect(): void {
    if (this.#parts.size <= MAXIMUM_PARTS) {
      return;
    }
    const [least] = [...this.#parts].sort(([, left], [, right]) => (
      left.crashes.length - right.crashes.length
      || (left.crashes.at(-1)?.at ?? 0) - (right.crashes.at(-1)?.at ?? 0)
    ));
    if (least !== undefined) {
      this.#forget(least[0]);
    }
  }

  #forget(part: PromptPartId): void {
    this.#parts.delete(part);
    this.#changedAt.delete(part);
    this.#trials.forget(part);
  }

  #findEnd(part: PromptPartId, crashes: readonly TargetCrash[]): number | null {
    return findQuarantineEnd(part, crashes, this.#now());
  }

  #now(): number {
    return this.#clock.monotonicMilliseconds();
  }
}
