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

const noLinkIsCut: CutPredicate = () => false;

/** In-memory network of entries that loses, delays, duplicates and reorders messages, seeded. */
export default class FakeNetwork {
  readonly store = new FakeStore();

  readonly schedule = new FakeSchedule();

  readonly entries = new Map<EntryId, FakeEntry>();

  /** Number of answered pulls of changes from peers. */
  pulls = 0;

  readonly #options: FakeNetworkOptions;

  #isCut = noLinkIsCut;

  #loss: number;

  readonly #random: SeededRandom;

  readonly #addresses = new Map<string, EntryId>();

  /** Work deferred until a paused process resumes. */
  readonly #paused = new Map<EntryId, (() => void)[]>();

  constructor(options: FakeNetworkOptions) {
    this.#options = options;
    this.#loss = options.loss;
    this.#random = new SeededRandom(options.seed);
  }

  /** Cuts links in one direction: messages for which the predicate holds are lost. */
  cut(predicate: CutPredicate): void {
    this.#isCut = predicate;
  }

  heal(): void {
    this.#isCut = noLinkIsCut;
  }

  /** Sets the share of messages that are lost from now on. */
  setLoss(loss: number): void {
    this.#loss = loss;
  }

  get now(): number {
    return this.schedule.now;
  }

  /** Starts a process and replaces a running one with the same identifier. */
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
      this.#execute(entry, entry.stepMembership({ kind: 'seeds', peers: seeds }, this.now));
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

  /** Suspends a process. Ticks and arriving messages are deferred until it resumes. */
  pause(entry: EntryId): void {
    if (!this.#paused.has(entry)) {
      this.#paused.set(entry, []);
    }
  }

  resume(entry: EntryId): void {
    const deferredWork = this.#paused.get(entry) ?? [];
    this.#paused.delete(entry);
    deferredWork.forEach((work) => work());
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
    this.#execute(entry, entry.stepDissemination({ kind: 'in-force', sequence }, this.now));
    return sequence;
  }

  /** Reports a sequence as in force to an entry, as a late answer does. */
  injectInForce(entry: FakeEntry, sequence: ReleaseSequence): void {
    this.#execute(entry, entry.stepDissemination({ kind: 'in-force', sequence }, this.now));
  }

  leave(entry: FakeEntry): void {
    this.#execute(entry, entry.stepMembership({ kind: 'leave' }, this.now));
  }

  #isRunning(entry: FakeEntry): boolean {
    return this.entries.get(entry.record.entry) === entry;
  }

  /** Runs work in a process: after it resumes if it is paused, never if it has ended. */
  #runInProcess(entry: FakeEntry, work: () => void): void {
    if (!this.#isRunning(entry)) {
      return;
    }
    const deferredWork = this.#paused.get(entry.record.entry);
    if (deferredWork === undefined) {
      work();
    } else {
      deferredWork.push(() => this.#runInProcess(entry, work));
    }
  }

  #tick(entry: FakeEntry): void {
    this.#runInProcess(entry, () => {
      this.#execute(entry, entry.tick(this.now));
      this.schedule.after(this.#options.tickMilliseconds, () => this.#tick(entry));
    });
  }

  #execute(entry: FakeEntry, commands: readonly OutboundCommand[]): void {
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
        this.#execute(receiver, receiver.stepMembership(event, this.now));
      });
    }
  }

  /** Runs `deliver` in the process at an address after a delay, unless the message is lost. */
  #transmit(from: EntryRecord, address: string, deliver: (receiver: FakeEntry) => void): void {
    const receiver = this.entries.get(this.#addresses.get(address)!);
    const isLost = this.#random.next() < this.#loss;
    if (receiver === undefined || isLost || this.#isCut(from, receiver.record)) {
      return;
    }
    const delay = this.#delay() + this.#regionDelay(from, receiver.record);
    this.schedule.after(delay, () => this.#runInProcess(receiver, () => deliver(receiver)));
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
      this.schedule.after(this.#delay(), () => this.#runInProcess(entry, () => {
        this.#execute(entry, entry.stepDissemination(this.#storeAnswer(kind, sequence), this.now));
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
        this.#execute(requester, requester.stepDissemination({ kind: 'in-force', sequence }, this.now));
      });
    });
  }
}
