import { type EntryId, ReleaseSequence } from '@dandelionlane/core';
import Liveness from '../messages/Liveness.js';
import type MemberUpdate from '../messages/MemberUpdate.js';
import type MemberRecord from './MemberRecord.js';
import mergeUpdate from './mergeUpdate.js';
import type ViewDigest from './ViewDigest.js';

const NO_SEQUENCE = ReleaseSequence.parse(0);

/** The other members of the region's group, by entry. */
export default class MemberTable {
  readonly #digest: ViewDigest;

  readonly #members = new Map<EntryId, MemberRecord>();

  /** Members by liveness, computed on first use and invalidated by every change. */
  #byLiveness: ReadonlyMap<Liveness, readonly MemberRecord[]> | undefined;

  constructor(digest: ViewDigest) {
    this.#digest = digest;
  }

  get(entry: EntryId): MemberRecord | undefined {
    return this.#members.get(entry);
  }

  get size(): number {
    return this.#members.size;
  }

  all(): readonly MemberRecord[] {
    return [...this.#members.values()];
  }

  /** Members that are alive or suspect, which are those that are probed. */
  present(): readonly MemberRecord[] {
    return [...this.withLiveness('alive'), ...this.withLiveness('suspect')];
  }

  withLiveness(liveness: Liveness): readonly MemberRecord[] {
    this.#byLiveness ??= this.#group();
    return this.#byLiveness.get(liveness) ?? [];
  }

  /** Merges a claim. Returns the member if the claim changed it. */
  apply(update: MemberUpdate, now: number): MemberRecord | undefined {
    const current = this.#members.get(update.entry.entry);
    if (current === undefined) {
      // An unknown dead member is not added: members would never agree on when to forget it.
      return update.liveness === 'dead'
        ? undefined
        : this.#put({ update, sequenceInForce: NO_SEQUENCE, changedAtMilliseconds: now });
    }
    const merged = mergeUpdate(current.update, update);
    if (merged === current.update) {
      return undefined;
    }
    return this.#put({ ...current, update: merged, changedAtMilliseconds: now });
  }

  /** Records the sequence in force at a member. Returns the member if the sequence increased. */
  advanceSequence(entry: EntryId, sequenceInForce: ReleaseSequence): MemberRecord | undefined {
    const current = this.#members.get(entry);
    if (current === undefined || sequenceInForce <= current.sequenceInForce) {
      return undefined;
    }
    return this.#put({ ...current, sequenceInForce });
  }

  /** Extends every suspicion by the time for which this process was paused. */
  postponeSuspicions(milliseconds: number): void {
    this.withLiveness('suspect')
      .forEach((member) => this.#put({
        ...member,
        changedAtMilliseconds: member.changedAtMilliseconds + milliseconds,
      }));
  }

  forget(entry: EntryId): void {
    this.#digest.replace(this.#members.get(entry)?.update, undefined);
    this.#byLiveness = undefined;
    this.#members.delete(entry);
  }

  #put(member: MemberRecord): MemberRecord {
    this.#digest.replace(this.#members.get(member.update.entry.entry)?.update, member.update);
    this.#members.set(member.update.entry.entry, member);
    this.#byLiveness = undefined;
    return member;
  }

  #group(): ReadonlyMap<Liveness, readonly MemberRecord[]> {
    const all = this.all();
    return new Map(Liveness.options.map((liveness) => (
      [liveness, all.filter(({ update }) => update.liveness === liveness)]
    )));
  }
}
