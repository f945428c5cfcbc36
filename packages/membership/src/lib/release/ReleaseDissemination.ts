import { type EntryRecord, type RandomSource, ReleaseSequence } from '@dandelionlane/core';
import chooseEntries from '../homes/chooseEntries.js';
import type Member from '../membership/Member.js';
import sample from '../membership/sample.js';
import type ReleaseHead from '../messages/ReleaseHead.js';
import PeerHeads from './PeerHeads.js';
import type PullSource from './PullSource.js';
import type ReleaseDisseminationCommand from './ReleaseDisseminationCommand.js';
import type ReleaseDisseminationEvent from './ReleaseDisseminationEvent.js';
import type ReleaseDisseminationOptions from './ReleaseDisseminationOptions.js';
import type ReleaseDisseminationSettings from './ReleaseDisseminationSettings.js';
import StorePollSchedule from './StorePollSchedule.js';

type MembersEvent = Extract<ReleaseDisseminationEvent, { kind: 'members' }>;
type PeerHeadEvent = Extract<ReleaseDisseminationEvent, { kind: 'peer-head' }>;

const POLL_KEY = 'release-poll';
const BRIDGE_KEY = 'release-bridge';

/** A pull in flight. */
interface Pull {
  readonly source: PullSource;
  readonly startedAtMilliseconds: number;
}

/**
 * Pulls accepted changes from peers or the store and announces them to peers. Deterministic:
 * it performs no input or output and has no timers. The sequence in force never decreases.
 */
export default class ReleaseDissemination {
  readonly #self: EntryRecord;

  readonly #random: RandomSource;

  readonly #settings: ReleaseDisseminationSettings;

  readonly #pollSchedule: StorePollSchedule;

  readonly #peerHeads: PeerHeads;

  #members: readonly Member[] = [];

  #remoteEntries: readonly EntryRecord[] = [];

  #isBridge = true;

  #sequenceInForce: ReleaseSequence;

  #storeSequence = ReleaseSequence.parse(0);

  #pull: Pull | undefined;

  #hedgeMilliseconds: number;

  #nextBridgeAt = Number.NEGATIVE_INFINITY;

  #commands: ReleaseDisseminationCommand[] = [];

  constructor({
    self, random, settings, sequenceInForce,
  }: ReleaseDisseminationOptions) {
    this.#self = self;
    this.#random = random;
    this.#settings = settings;
    this.#sequenceInForce = sequenceInForce;
    this.#hedgeMilliseconds = settings.pullHedgeMilliseconds;
    this.#pollSchedule = new StorePollSchedule(settings, random);
    this.#peerHeads = new PeerHeads(self, random);
  }

  /** Handles one event at a monotonic time and returns the commands to execute. */
  step(
    event: ReleaseDisseminationEvent,
    monotonicMilliseconds: number,
  ): readonly ReleaseDisseminationCommand[] {
    this.#handle(event, monotonicMilliseconds);
    this.#pullIfBehind(monotonicMilliseconds);
    const commands = this.#commands;
    this.#commands = [];
    return commands;
  }

  /** Release head that this entry reports to its peers. */
  head(): ReleaseHead {
    return { sequenceInForce: this.#sequenceInForce, storeReads: this.#pollSchedule.storeReads };
  }

  #handle(event: ReleaseDisseminationEvent, now: number): void {
    switch (event.kind) {
      case 'tick':
        this.#tick(now);
        break;
      case 'members':
        this.#handleMembers(event);
        break;
      case 'peer-head':
        this.#handlePeerHead(event, now);
        break;
      case 'store-head':
        this.#handleStoreHead(event.sequence, now);
        break;
      case 'poll-failed':
        this.#pollSchedule.recordFailure();
        break;
      case 'in-force':
        this.#handleInForce(event.sequence);
        break;
      case 'pull-failed':
        this.#failPull(event.source);
        break;
      default:
        throw new Error(`unknown event ${String(event satisfies never)}`);
    }
  }

  #tick(now: number): void {
    this.#expirePull(now);
    if (this.#pollSchedule.startPollIfDue(now)) {
      this.#commands.push({ kind: 'poll-store' });
    }
    this.#announceToOtherRegion(now);
  }

  #handleMembers({ members, remoteEntries }: MembersEvent): void {
    this.#members = members;
    this.#remoteEntries = remoteEntries;
    const candidates = [this.#self, ...this.#liveEntries()];
    const order = chooseEntries(POLL_KEY, candidates, candidates.length);
    this.#pollSchedule.setRank(order.indexOf(this.#self));
    this.#isBridge = chooseEntries(BRIDGE_KEY, candidates, this.#settings.bridges).includes(this.#self);
  }

  #handlePeerHead({ peer, head }: PeerHeadEvent, now: number): void {
    if (peer.region === this.#self.region) {
      this.#pollSchedule.observeReads(head.storeReads, now);
    }
    if (head.sequenceInForce > this.#sequenceInForce) {
      this.#peerHeads.record(peer, head.sequenceInForce);
    } else if (head.sequenceInForce < this.#sequenceInForce && peer.region !== this.#self.region) {
      // Within a region, the acknowledgement has already carried the head to the peer.
      this.#commands.push({ kind: 'announce', to: peer });
    }
  }

  #handleStoreHead(sequence: ReleaseSequence, now: number): void {
    this.#pollSchedule.recordSuccess(now);
    // A stale read may return a lower head than an earlier read.
    this.#storeSequence = sequence > this.#storeSequence ? sequence : this.#storeSequence;
  }

  #handleInForce(sequence: ReleaseSequence): void {
    if (sequence <= this.#sequenceInForce) {
      return;
    }
    this.#sequenceInForce = sequence;
    this.#pull = undefined;
    this.#hedgeMilliseconds = this.#settings.pullHedgeMilliseconds;
    this.#peerHeads.dropUpTo(sequence);
    this.#announce();
  }

  #failPull(source: PullSource): void {
    this.#pull = undefined;
    switch (source.kind) {
      case 'peer':
        this.#peerHeads.drop(source.peer.entry);
        break;
      case 'store':
        // The next successful poll sets the sequence of the store again.
        this.#storeSequence = ReleaseSequence.parse(0);
        break;
      default:
        throw new Error(`unknown source ${String(source satisfies never)}`);
    }
  }

  /** Abandons a slow pull, so that another source is tried. A late answer is still accepted. */
  #expirePull(now: number): void {
    const pull = this.#pull;
    if (pull !== undefined && now - pull.startedAtMilliseconds >= this.#hedgeMilliseconds) {
      this.#hedgeMilliseconds = Math.min(this.#hedgeMilliseconds * 2, this.#settings.pullTimeoutMilliseconds);
      this.#failPull(pull.source);
    }
  }

  #pullIfBehind(now: number): void {
    if (this.#pull !== undefined) {
      return;
    }
    const source = this.#chooseSource();
    if (source === undefined) {
      return;
    }
    this.#pull = { source, startedAtMilliseconds: now };
    this.#commands.push(source.kind === 'store'
      ? { kind: 'read-store', after: this.#sequenceInForce }
      : { kind: 'pull-from', peer: source.peer, after: this.#sequenceInForce });
  }

  #chooseSource(): PullSource | undefined {
    const peer = this.#peerHeads.choose();
    if (peer !== undefined) {
      return { kind: 'peer', peer };
    }
    return this.#storeSequence > this.#sequenceInForce ? { kind: 'store' } : undefined;
  }

  /** Announces a new head to a few random peers, which announce it in the same way (gossip). */
  #announce(): void {
    const lagging = this.#members
      .filter(({ state, sequenceInForce }) => state !== 'dead' && sequenceInForce < this.#sequenceInForce)
      .map(({ entry }) => entry);
    const peers = sample(lagging, this.#settings.fanout, this.#random);
    const remote = this.#isBridge ? this.#sampleRegions(this.#settings.bridgeFanout) : [];
    [...peers, ...remote].forEach((to) => this.#commands.push({ kind: 'announce', to }));
  }

  #announceToOtherRegion(now: number): void {
    if (!this.#isBridge || now < this.#nextBridgeAt) {
      return;
    }
    this.#nextBridgeAt = now + this.#settings.bridgePeriodMilliseconds;
    this.#sampleRegions(1).forEach((to) => this.#commands.push({ kind: 'announce', to }));
  }

  /** One random entry from each of up to `count` random other regions. */
  #sampleRegions(count: number): readonly EntryRecord[] {
    const regions = [...new Set(this.#remoteEntries.map(({ region }) => region))];
    return sample(regions, count, this.#random).flatMap((region) => (
      sample(this.#remoteEntries.filter((entry) => entry.region === region), 1, this.#random)
    ));
  }

  #liveEntries(): readonly EntryRecord[] {
    return this.#members
      .filter(({ state }) => state === 'alive' || state === 'suspect')
      .map(({ entry }) => entry);
  }
}
