import {
  type EntryId, type EntryRecord, type RandomSource, ReleaseSequence,
} from '@dandelionlane/core';
import type MemberUpdate from '../messages/MemberUpdate.js';
import type PeerMessage from '../messages/PeerMessage.js';
import type ReleaseHead from '../messages/ReleaseHead.js';
import type Member from './Member.js';
import type MembershipCommand from './MembershipCommand.js';
import type MembershipOptions from './MembershipOptions.js';
import type MembershipSettings from './MembershipSettings.js';
import MemberTable from './MemberTable.js';
import type PeerTarget from './PeerTarget.js';
import RemoteDirectory from './RemoteDirectory.js';
import sample from './sample.js';
import toMember from './toMember.js';
import UpdateQueue from './UpdateQueue.js';
import ViewDigest from './ViewDigest.js';

const REMOTE_ENTRIES_PER_REGION = 8;

/** View that one entry has of its region's group. Collects the commands that changes cause. */
export default class GroupView {
  readonly settings: MembershipSettings;

  readonly random: RandomSource;

  readonly digest = new ViewDigest();

  readonly table = new MemberTable(this.digest);

  readonly remoteDirectory: RemoteDirectory;

  readonly #queue = new UpdateQueue();

  #self: MemberUpdate;

  #head: ReleaseHead = { sequenceInForce: ReleaseSequence.parse(0), storeReads: 0 };

  #commands: MembershipCommand[] = [];

  constructor({ self, random, settings }: MembershipOptions) {
    this.settings = settings;
    this.random = random;
    this.remoteDirectory = new RemoteDirectory(self.region, REMOTE_ENTRIES_PER_REGION);
    this.#self = {
      entry: self, refutation: 0, liveness: 'alive', leaving: false,
    };
    this.digest.replace(undefined, this.#self);
    this.#queue.add(self.entry);
  }

  get self(): MemberUpdate {
    return this.#self;
  }

  get head(): ReleaseHead {
    return this.#head;
  }

  /** Sets this entry's release head. A head with a lower sequence is ignored. */
  setHead(head: ReleaseHead): void {
    if (head.sequenceInForce >= this.#head.sequenceInForce) {
      this.#head = head;
    }
  }

  leave(): void {
    this.#setSelf({ ...this.#self, leaving: true });
  }

  /** Raises the refutation of this entry, so that suspicions raised so far are overridden. */
  refutePreemptively(): void {
    this.#setSelf({ ...this.#self, refutation: this.#self.refutation + 1 });
  }

  /** Merges a claim and queues it for dissemination if it changed a member. */
  apply(update: MemberUpdate, now: number): void {
    if (this.merge(update, now)) {
      this.#queue.add(update.entry.entry);
    }
  }

  /** Merges a claim without queueing it. Returns whether it changed a member. */
  merge(update: MemberUpdate, now: number): boolean {
    if (update.entry.entry === this.#self.entry.entry) {
      this.#refute(update);
      return false;
    }
    if (update.entry.region !== this.#self.entry.region) {
      this.remoteDirectory.add(update.entry);
      return false;
    }
    const changed = this.table.apply(update, now);
    if (changed !== undefined) {
      this.#commands.push({ kind: 'member-changed', member: toMember(changed) });
    }
    return changed !== undefined;
  }

  /** Applies the claim and the release head that the sender of a message gave about itself. */
  observe(sender: MemberUpdate, head: ReleaseHead, now: number): void {
    this.apply(sender, now);
    const advanced = this.table.advanceSequence(sender.entry.entry, head.sequenceInForce);
    if (advanced !== undefined) {
      this.#commands.push({ kind: 'member-changed', member: toMember(advanced) });
    }
    this.#commands.push({ kind: 'head-heard', peer: sender.entry, head });
  }

  members(): readonly Member[] {
    return this.table.all().map(toMember);
  }

  /** Up to `count` random members that are not dead, without those in `except`. */
  samplePresent(count: number, except: readonly EntryId[] = []): readonly EntryRecord[] {
    const candidates = this.table.present()
      .map(({ update }) => update.entry)
      .filter(({ entry }) => !except.includes(entry));
    return sample(candidates, count, this.random);
  }

  /**
   * Updates for the next message to `receiver`. A claim that the receiver is suspect or dead
   * is always included, so that the receiver can refute it.
   */
  piggyback(receiver: EntryId): MemberUpdate[] {
    const queued = this.#queue.take(this.settings.maximumUpdates, this.#retransmissions())
      .map((entry) => this.#updateOf(entry))
      .filter((update) => update !== undefined);
    const aboutReceiver = this.table.get(receiver)?.update;
    if (aboutReceiver === undefined || aboutReceiver.liveness === 'alive' || queued.includes(aboutReceiver)) {
      return queued;
    }
    return [aboutReceiver, ...queued];
  }

  send(to: PeerTarget, message: PeerMessage): void {
    this.#commands.push({ kind: 'send', to, message });
  }

  sendTo(entry: EntryRecord, message: PeerMessage): void {
    this.send({ kind: 'entry', entry }, message);
  }

  /** Returns and clears the commands collected since the last call. */
  drainCommands(): readonly MembershipCommand[] {
    const commands = this.#commands;
    this.#commands = [];
    return commands;
  }

  #setSelf(self: MemberUpdate): void {
    this.digest.replace(this.#self, self);
    this.#self = self;
    this.#queue.add(self.entry.entry);
  }

  #updateOf(entry: EntryId): MemberUpdate | undefined {
    return entry === this.#self.entry.entry ? this.#self : this.table.get(entry)?.update;
  }

  #retransmissions(): number {
    const size = this.table.size + 1;
    return Math.ceil(this.settings.retransmissionFactor * Math.log2(size + 1));
  }

  /** Refutes a claim that this entry is suspect or dead. Claims about other incarnations are ignored. */
  #refute(claim: MemberUpdate): void {
    const mustRefute = claim.liveness !== 'alive'
      && claim.entry.incarnation === this.#self.entry.incarnation
      && claim.refutation >= this.#self.refutation;
    if (mustRefute) {
      this.#setSelf({ ...this.#self, refutation: claim.refutation + 1 });
    }
  }
}
