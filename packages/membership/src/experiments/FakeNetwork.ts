import {
  type EntryId, EntryRecord, type ReleaseSequence, SeededRandom,
} from '@dandelionlane/core';
import type PeerTarget from '../lib/membership/PeerTarget.js';
import type PeerMessage from '../lib/messages/PeerMessage.js';
import FakeEntry from './FakeEntry.js';
import type FakeNetworkOptions from './FakeNetworkOptions.js';
import FakeSchedule from './FakeSchedule.js';
import FakeStore from './FakeStore.js';
import type OutboundCommand from './OutboundCommand.js';

type CutPredicate = (from: EntryRecord, to: EntryRecord) => boolean;

const LARGE_SEED = 2 ** 31;

const nothingIsCut: CutPredicate = () => false;

/** In-memory network of entries: loses, delays, repeats and reorders messages by a seed. */
export default class FakeNetwork {
  readonly store = new FakeStore();

  readonly schedule = new FakeSchedule();

  readonly entries = new Map<EntryId, FakeEntry>();

  /** Pulls of changes from peers that were answered. */
  pulls = 0;

  readonly #options: FakeNetworkOptions;

  #isCut = nothingIsCut;

  #loss: number;

  readonly #random: SeededRandom;

  readonly #addresses = new Map<string, EntryId>();

  /** Work that waits for a paused process. */
  readonly #paused = new Map<EntryId, (() => void)[]>();

  constructor(options: FakeNetworkOptions) {
    this.#options = options;
    this.#loss = options.loss;
    this.#random = new SeededRandom(options.seed);
  }

  /** Cuts links one way: messages for which the predicate holds are lost. */
  cut(predicate: CutPredicate): void {
    this.#isCut = predicate;
  }

  heal(): void {
    this.#isCut = nothingIsCut;
  }

  /** Sets the share of messages lost from now on. */
  setLoss(loss: number): void {
    this.#loss = loss;
  }

  get now(): number {
    return this.schedule.now;
  }

  /** Starts a process; one of the same identifier is gone from then on. */
  start(record: EntryRecord, seeds: readonly PeerTarget[]): FakeEntry {
    const random = new SeededRandom(Math.floor(this.#random.next() * LARGE_SEED));
    const entry = new FakeEntry(
      record,
      this.#options.createMembership(record, random),
      this.#options.createDissemination(record, random),
    );
    this.entries.set(record.entry, entry);
    this.#paused.delete(record.entry);
    this.#addresses.set(record.peerAddress, record.entry);
    this.schedule.after(this.#random.next() * this.#options.tickMilliseconds, () => {
      this.#perform(entry, entry.stepMembership({ kind: 'seeds', peers: seeds }, this.now));
      this.#tick(entry);
    });
    return entry;
  }

  crash(entry: EntryId): void {
    this.entries.delete(entry);
    this.#paused.delete(entry);
  }

  /** Restarts a process under its identifier with the next incarnation. */
  restart({ record }: FakeEntry, seeds: readonly PeerTarget[]): FakeEntry {
    return this.start(EntryRecord.parse({ ...record, incarnation: record.incarnation + 1 }), seeds);
  }

  /** Stops a process without ending it; what arrives meanwhile waits. */
  pause(entry: EntryId): void {
    if (!this.#paused.has(entry)) {
      this.#paused.set(entry, []);
    }
  }

  resume(entry: EntryId): void {
    const waiting = this.#paused.get(entry) ?? [];
    this.#paused.delete(entry);
    waiting.forEach((work) => work());
  }

  isPaused(entry: EntryId): boolean {
    return this.#paused.has(entry);
  }

  runFor(milliseconds: number): void {
    this.schedule.runFor(milliseconds);
  }

  /** Publishes a change through an entry, which puts it in force at once. */
  publishThrough(entry: FakeEntry): ReleaseSequence {
    const sequence = this.store.publish();
    this.#perform(entry, entry.stepDissemination({ kind: 'in-force', sequence }, this.now));
    return sequence;
  }

  /** Tells an entry that a sequence is in force, as a late answer would. */
  injectInForce(entry: FakeEntry, sequence: ReleaseSequence): void {
    this.#perform(entry, entry.stepDissemination({ kind: 'in-force', sequence }, this.now));
  }

  leave(entry: FakeEntry): void {
    this.#perform(entry, entry.stepMembership({ kind: 'leave' }, this.now));
  }

  #isRunning(entry: FakeEntry): boolean {
    return this.entries.get(entry.record.entry) === entry;
  }

  /** Runs work in a process: later if it is paused, never if it is gone. */
  #inProcess(entry: FakeEntry, work: () => void): void {
    if (!this.#isRunning(entry)) {
      return;
    }
    const waiting = this.#paused.get(entry.record.entry);
    if (waiting === undefined) {
      work();
    } else {
      waiting.push(() => this.#inProcess(entry, work));
    }
  }

  #tick(entry: FakeEntry): void {
    this.#inProcess(entry, () => {
      this.#perform(entry, entry.tick(this.now));
      this.schedule.after(this.#options.tickMilliseconds, () => this.#tick(entry));
    });
  }

  #perform(entry: FakeEntry, commands: readonly OutboundCommand[]): void {
    commands.forEach((command) => {
      switch (command.kind) {
        case 'send':
          this.#send(entry, command.to, command.message);
          break;
        case 'poll-store':
        case 'read-store':
          this.#readStore(entry, command.kind);
          break;
        case 'pull-from':
          this.#pull(entry, command.peer);
          break;
        default:
          throw new Error(`unknown command ${String(command satisfies never)}`);
      }
    });
  }

  #send(from: FakeEntry, to: PeerTarget, message: PeerMessage): void {
    const address = to.kind === 'entry' ? to.entry.peerAddress : to.address;
    const received = this.#options.interceptMessage?.(from.record.peerAddress, address, message) ?? message;
    const copies = this.#random.next() < this.#options.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.#transmit(from.record, address, (receiver) => {
        const event = { kind: 'message', from: from.record.entry, message: received } as const;
        this.#perform(receiver, receiver.stepMembership(event, this.now));
      });
    }
  }

  /** Runs `deliver` in the process at an address, unless the message is lost on the way. */
  #transmit(from: EntryRecord, address: string, deliver: (receiver: FakeEntry) => void): void {
    const receiver = this.entries.get(this.#addresses.get(address)!);
    const isLost = this.#random.next() < this.#loss;
    if (receiver === undefined || isLost || this.#isCut(from, receiver.record)) {
      return;
    }
    const delay = this.#delay() + this.#regionDelay(from, receiver.record);
    this.schedule.after(delay, () => this.#inProcess(receiver, () => deliver(receiver)));
  }

  #delay(): number {
    const { minimumDelayMilliseconds, maximumDelayMilliseconds } = this.#options;
    return minimumDelayMilliseconds
      + this.#random.next() * (maximumDelayMilliseconds - minimumDelayMilliseconds);
  }

  #regionDelay(from: EntryRecord, to: EntryRecord): number {
    return from.region === to.region ? 0 : this.#options.regionDelayMilliseconds;
  }

  #readStore(entry: FakeEntry, kind: 'poll-store' | 'read-store'): void {
    this.schedule.after(this.#delay(), () => {
      const sequence = this.store.read(entry.record);
      this.schedule.after(this.#delay(), () => this.#inProcess(entry, () => {
        this.#perform(entry, entry.stepDissemination(this.#storeAnswer(kind, sequence), this.now));
      }));
    });
  }

  // eslint-disable-next-line class-methods-use-this -- pure helper
  #storeAnswer(
    kind: 'poll-store' | 'read-store',
    sequence: ReleaseSequence | undefined,
  ): Parameters<FakeEntry['stepDissemination']>[0] {
    if (kind === 'poll-store') {
      return sequence === undefined ? { kind: 'poll-failed' } : { kind: 'store-head', sequence };
    }
    return sequence === undefined
      ? { kind: 'pull-failed', source: { kind: 'store' } }
      : { kind: 'in-force', sequence };
  }

  #pull(entry: FakeEntry, peer: EntryRecord): void {
    this.#transmit(entry.record, peer.peerAddress, (receiver) => {
      const sequence = receiver.dissemination.head().sequenceInForce;
      this.#transmit(receiver.record, entry.record.peerAddress, (requester) => {
        this.pulls += 1;
        this.#perform(requester, requester.stepDissemination({ kind: 'in-force', sequence }, this.now));
      });
    });
  }
}
