import type { Clock, EntryId, PromptPartId } from '@dandelionlane/core';

/** Time for which an entry may use a trial, in ms; another one is granted only after it. */
const GRANT_MILLISECONDS = 5_000;

/** Permission of one entry to send one request with a part in quarantine. */
interface TrialGrant {
  readonly part: PromptPartId;
  readonly entry: EntryId;
}

/** Lets one entry at a time try whether a part in quarantine still crashes targets. */
export default class TrialGrants {
  readonly #clock: Clock;

  readonly #grants = new Map<PromptPartId, { readonly entry: EntryId; readonly until: number }>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Grants trials to the entries that seek one. Returns the grants in force. */
  grant(sought: readonly TrialGrant[]): readonly TrialGrant[] {
    const now = this.#clock.monotonicMilliseconds();
    this.#grants.forEach(({ until }, part) => {
      if (until <= now) {
        this.#grants.delete(part);
      }
    });
    sought.filter(({ part }) => !this.#grants.has(part))
      .forEach(({ part, entry }) => this.#grants.set(part, { entry, until: now + GRANT_MILLISECONDS }));
    return [...this.#grants].map(([part, { entry }]) => ({ part, entry }));
  }
}
