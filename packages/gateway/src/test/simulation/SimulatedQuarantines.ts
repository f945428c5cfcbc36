import {
  EntryId, ManualClock, type PromptPartId, WorkerId,
} from '@dandelionlane/core';
import PromptQuarantine from '../../lib/quarantine/PromptQuarantine.js';
import TrialGrants from '../../lib/quarantine/TrialGrants.js';

/** Time between two messages of a link, in ms. */
const MESSAGE_PERIOD_MILLISECONDS = 120;

/** Time from the start of an attempt to its first events, or to the end of its target, in ms. */
const ANSWER_MILLISECONDS = 200;

/** An attempt under way. */
interface PendingAttempt {
  readonly entry: number;
  readonly parts: readonly PromptPartId[];
  readonly answersAt: number;
  /** Times that the request is sent again once its target has ended. */
  readonly repeats: number;
}

/** The quarantines of many entries, their links to a holder, and targets that some parts crash. */
export default class SimulatedQuarantines {
  readonly clock = new ManualClock();

  readonly deadly = new Set<PromptPartId>();

  /** Entries whose links are down. */
  readonly unlinked = new Set<number>();

  /** Times at which targets crashed, in ms. */
  readonly crashedAt: number[] = [];

  /** Times at which requests with a deadly part reached a target, in ms. */
  readonly reachedAt: number[] = [];

  /** Requests without a deadly part that were held back. */
  wronglyRefused = 0;

  holder = 0;

  readonly #entries: PromptQuarantine[];

  readonly #trials = new TrialGrants(this.clock);

  #pending: PendingAttempt[] = [];

  #nextMessageAt = 0;

  #crashes = 0;

  constructor(entries: number) {
    this.#entries = Array.from({ length: entries }, () => new PromptQuarantine(this.clock));
  }

  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /**
   * Sends a request to an entry. Returns whether it was passed on to a target.
   * @param repeats Times that the entry sends it again once its target has ended.
   */
  send(entry: number, parts: readonly PromptPartId[], repeats = 0): boolean {
    const quarantine = this.#at(entry);
    const heldBack = quarantine.find(parts);
    const isDeadly = parts.some((part) => this.deadly.has(part));
    if (heldBack !== null) {
      quarantine.recordHeldBack(heldBack.part);
      this.wronglyRefused += isDeadly ? 0 : 1;
      return false;
    }
    quarantine.recordSend(parts);
    if (isDeadly) {
      this.reachedAt.push(this.now);
    }
    this.#pending.push({
      entry, parts, answersAt: this.now + ANSWER_MILLISECONDS, repeats,
    });
    return true;
  }

  /** Ends a target for another reason, under requests that are not answered yet. */
  loseTarget(requests: readonly { readonly entry: number; readonly parts: readonly PromptPartId[] }[]): void {
    this.#crashes += 1;
    const crash = { id: WorkerId.parse(`lost${this.#crashes}`), bornAt: 1, at: this.now };
    requests.forEach(({ entry, parts }) => this.#at(entry).recordCrash(crash, parts));
  }

  /** Starts an entry anew: it knows nothing until the holder tells it. */
  restart(entry: number): void {
    this.#entries[entry] = new PromptQuarantine(this.clock);
    this.#at(entry).merge(this.#at(this.holder).snapshot(), { ageMilliseconds: 0, forwards: false });
  }

  /** Makes another entry the holder; all entries tell it what they know. */
  changeHolder(holder: number): void {
    this.holder = holder;
    this.#entries.forEach((quarantine) => quarantine.tellAgain());
  }

  advance(milliseconds: number): void {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.clock.advance(10);
      this.#settleAttempts();
      if (this.now >= this.#nextMessageAt) {
        this.#nextMessageAt = this.now + MESSAGE_PERIOD_MILLISECONDS;
        this.#exchange();
      }
    }
  }

  #at(entry: number): PromptQuarantine {
    const quarantine = this.#entries[entry];
    if (quarantine === undefined) {
      throw new Error(`entry ${entry} does not exist`);
    }
    return quarantine;
  }

  #settleAttempts(): void {
    const due = this.#pending.filter(({ answersAt }) => answersAt <= this.now);
    this.#pending = this.#pending.filter(({ answersAt }) => answersAt > this.now);
    due.forEach(({ entry, parts, repeats }) => {
      if (parts.some((part) => this.deadly.has(part))) {
        this.#crashes += 1;
        this.crashedAt.push(this.now);
        this.#at(entry).recordCrash({
          id: WorkerId.parse(`w${this.#crashes}`), bornAt: 1, at: this.now,
        }, parts);
        if (repeats > 0) {
          this.send(entry, parts, repeats - 1);
        }
      } else {
        this.#at(entry).recordServed(parts);
      }
    });
  }

  #exchange(): void {
    const linked = this.#entries.map((quarantine, entry) => ({ quarantine, entry }))
      .filter(({ entry }) => entry !== this.holder && !this.unlinked.has(entry));
    const holder = this.#at(this.holder);
    linked.map(({ quarantine }) => quarantine.takeChanges())
      .forEach((evidence) => holder.merge(evidence, { ageMilliseconds: 0, forwards: true }));
    const changes = holder.takeChanges();
    const grants = this.#trials.grant([...linked, { quarantine: holder, entry: this.holder }]
      .flatMap(({ quarantine, entry }) => quarantine.trialsSought()
        .map((part) => ({ part, entry: EntryId.parse(`e${entry}`) }))));
    const grantsOf = (entry: number) => grants.filter((grant) => grant.entry === `e${entry}`)
      .map(({ part }) => part);
    linked.forEach(({ quarantine, entry }) => {
      quarantine.merge(changes, { ageMilliseconds: 0, forwards: false });
      quarantine.grantTrials(grantsOf(entry));
    });
    holder.grantTrials(grantsOf(this.holder));
  }
}
