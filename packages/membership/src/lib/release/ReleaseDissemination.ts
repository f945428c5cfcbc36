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

/** A pull under way. */
interface Pull {
  readonly source: PullSource;
  readonly startedAtMilliseconds: number;
}

/**
 * Decides how accepted changes reach this entry and go on from it. Deterministic: it does
 * no input or output and has no timers. The sequence in force never goes back.
 */
export default class ReleaseDissemination {
  readonly #self: EntryRecord;

  readonly #random: RandomSource;

  readonly #settings: ReleaseDisseminationSettings;

  readonly #polling: StorePollSchedule;

  readonly #peerHeads: PeerHeads;

  #members: readonly Member[] = [];

  #remoteEntries: readonly EntryRecord[] = [];

  #isBridge = true;

  #sequenceInForce: ReleaseSequence;

  #storeSequence = ReleaseSequence.parse(0);

  #pull: Pull | undefined;

  #pullWait: number;

  #nextBridgeAt = Number.NEGATIVE_INFINITY;

  #commands: ReleaseDisseminationCommand[] = [];

  constructor({
    self, random, settings, sequenceInForce,
  }: ReleaseDisseminationOptions) {
    this.#self = self;
    this.#random = random;
    this.#settings = settings;
    this.#sequenceInForce = sequenceInForce;
    this.#pullWait = settings.pullHedgeMilliseconds;
    this.#polling = new StorePollSchedule(settings, random);
    this.#peerHeads = new PeerHeads(self, random);
  }

  /** Takes one event in at a reading of the monotonic clock and returns what to do. */
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

  /** What this entry tells its peers. */
  head(): ReleaseHead {
    return { sequenceInForce: this.#sequenceInForce, storeReads: this.#polling.storeReads };
  }

  #handle(event: ReleaseDisseminationEvent, now: number): void {
    switch (event.kind) {
      case 'tick':
        this.#tick(now);
        break;
      case 'members':
        this.#takeMembers(event);
        break;
      case 'peer-head':
        this.#takePeerHead(event, now);
        break;
      case 'store-head':
        this.#takeStoreHead(event.sequence, now);
        break;
      case 'poll-failed':
        this.#polling.recordFailure();
        break;
      case 'in-force':
        this.#takeInForce(event.sequence);
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
    if (this.#polling.startPollIfDue(now)) {
      this.#commands.push({ kind: 'poll-store' });
    }
    this.#bridge(now);
  }

  #takeMembers({ members, remoteEntries }: MembersEvent): void {
    this.#members = members;
    this.#remoteEntries = remoteEntries;
    const candidates = [this.#self, ...this.#alive()];
    const order = chooseEntries(POLL_KEY, candidates, candidates.length);
    this.#polling.setRank(order.indexOf(this.#self));
    this.#isBridge = chooseEntries(BRIDGE_KEY, candidates, this.#settings.bridges).includes(this.#self);
  }

  #takePeerHead({ peer, head }: PeerHeadEvent, now: number): void {
    if (peer.region === this.#self.region) {
      this.#polling.observeReads(head.storeReads, now);
    }
    if (head.sequenceInForce > this.#sequenceInForce) {
      this.#peerHeads.record(peer, head.sequenceInForce);
    } else if (head.sequenceInForce < this.#sequenceInForce && peer.region !== this.#self.region) {
      // Inside a region the acknowledgement has told the peer already.
      this.#commands.push({ kind: 'announce', to: peer });
    }
  }

  #takeStoreHead(sequence: ReleaseSequence, now: number): void {
    this.#polling.recordSuccess(now);
    // A stale read may show a smaller head than an earlier one.
    this.#storeSequence = sequence > this.#storeSequence ? sequence : this.#storeSequence;
  }

  #takeInForce(sequence: ReleaseSequence): void {
    if (sequence <= this.#sequenceInForce) {
      return;
    }
    this.#sequenceInForce = sequence;
    this.#pull = undefined;
    this.#pullWait = this.#settings.pullHedgeMilliseconds;
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
        // The next answered poll brings the store's sequence back.
        this.#storeSequence = ReleaseSequence.parse(0);
        break;
      default:
        throw new Error(`unknown source ${String(source satisfies never)}`);
    }
  }

  /** Goes on to the next source. A late answer of the earlier one still counts. */
  #expirePull(now: number): void {
    const pull = this.#pull;
    if (pull !== undefined && now - pull.startedAtMilliseconds >= this.#pullWait) {
      this.#pullWait = Math.min(this.#pullWait * 2, this.#settings.pullTimeoutMilliseconds);
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

  /** Tells a new head to a few peers at once; each goes on in the same way. */
  #announce(): void {
    const behind = this.#members
      .filter(({ state, sequenceInForce }) => state !== 'dead' && sequenceInForce < this.#sequenceInForce)
      .map(({ entry }) => entry);
    const peers = sample(behind, this.#settings.fanout, this.#random);
    const remote = this.#isBridge ? this.#sampleRegions(this.#settings.bridgeFanout) : [];
    [...peers, ...remote].forEach((to) => this.#commands.push({ kind: 'announce', to }));
  }

  #bridge(now: number): void {
    if (!this.#isBridge || now < this.#nextBridgeAt) {
      return;
    }
    this.#nextBridgeAt = now + this.#settings.bridgePeriodMilliseconds;
    this.#sampleRegions(1).forEach((to) => this.#commands.push({ kind: 'announce', to }));
  }

  /** One random entry of each of up to `count` other regions. */
  #sampleRegions(count: number): readonly EntryRecord[] {
    const regions = [...new Set(this.#remoteEntries.map(({ region }) => region))];
    return sample(regions, count, this.#random).flatMap((region) => (
      sample(this.#remoteEntries.filter((entry) => entry.region === region), 1, this.#random)
    ));
  }

  #alive(): readonly EntryRecord[] {
    return this.#members
      .filter(({ state }) => state === 'alive' || state === 'suspect')
      .map(({ entry }) => entry);
  }
}
