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

/** One entry's view of its region's group, and the commands that follow from its changes. */
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

  /** Notes this entry's release head. A sequence never goes back. */
  setHead(head: ReleaseHead): void {
    if (head.sequenceInForce >= this.#head.sequenceInForce) {
      this.#head = head;
    }
  }

  leave(): void {
    this.#setSelf({ ...this.#self, leaving: true });
  }

  /** Makes the own claim stronger than any made so far. */
  refutePreemptively(): void {
    this.#setSelf({ ...this.#self, refutation: this.#self.refutation + 1 });
  }

  /** Takes a claim in and queues it for dissemination if it says something new. */
  apply(update: MemberUpdate, now: number): void {
    if (this.merge(update, now)) {
      this.#queue.add(update.entry.entry);
    }
  }

  /** Takes a claim in without passing it on. Returns whether it changed a member. */
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

  /** Takes in what a message says of its sender. */
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

  /** Members that may answer, in random order. */
  samplePresent(count: number, except: readonly EntryId[] = []): readonly EntryRecord[] {
    const candidates = this.table.present()
      .map(({ update }) => update.entry)
      .filter(({ entry }) => !except.includes(entry));
    return sample(candidates, count, this.random);
  }

  /**
   * Updates for the next message to `receiver`. A claim against the receiver always
   * goes along, so that it learns of it and refutes it.
   */
  piggyback(receiver: EntryId): MemberUpdate[] {
    const queued = this.#queue.take(this.settings.maximumUpdates, this.#retransmissions())
      .map((entry) => this.#updateOf(entry))
      .filter((update) => update !== undefined);
    const ofReceiver = this.table.get(receiver)?.update;
    if (ofReceiver === undefined || ofReceiver.liveness === 'alive' || queued.includes(ofReceiver)) {
      return queued;
    }
    return [ofReceiver, ...queued];
  }

  send(to: PeerTarget, message: PeerMessage): void {
    this.#commands.push({ kind: 'send', to, message });
  }

  sendTo(entry: EntryRecord, message: PeerMessage): void {
    this.send({ kind: 'entry', entry }, message);
  }

  /** Hands out the commands gathered since the last call. */
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

  /** Answers a claim that this entry is suspect or dead with a stronger claim of its own. */
  #refute(claim: MemberUpdate): void {
    const accused = claim.liveness !== 'alive'
      && claim.entry.incarnation === this.#self.entry.incarnation
      && claim.refutation >= this.#self.refutation;
    if (accused) {
      this.#setSelf({ ...this.#self, refutation: claim.refutation + 1 });
    }
  }
}
