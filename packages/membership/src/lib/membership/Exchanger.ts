import type { EntryRecord, RegionId } from '@dandelionlane/core';
import type MemberUpdate from '../messages/MemberUpdate.js';
import type PeerMessage from '../messages/PeerMessage.js';
import type GroupView from './GroupView.js';
import type PeerTarget from './PeerTarget.js';
import sample from './sample.js';

type ExchangeMessage = Extract<PeerMessage, { kind: 'exchange' }>;

const SEEDS_AT_ONCE = 3;
const CONTACTS_PER_REGION = 1;
const CONTACTS_FOR_OTHER_REGION = 3;

/** Anti-entropy: exchanges the buckets in which two views differ, and reconnects to lost peers. */
export default class Exchanger {
  readonly #view: GroupView;

  #seeds: readonly PeerTarget[] = [];

  #nextRepairAt = Number.NEGATIVE_INFINITY;

  #nextExchangeAt = Number.NEGATIVE_INFINITY;

  constructor(view: GroupView) {
    this.#view = view;
  }

  setSeeds(seeds: readonly PeerTarget[], now: number): void {
    this.#seeds = seeds.filter((seed) => !this.#isSelf(seed));
    seeds.forEach((seed) => {
      if (seed.kind === 'entry') {
        this.#view.remoteDirectory.add(seed.entry);
      }
    });
    sample(this.#lostPeers(), SEEDS_AT_ONCE, this.#view.random)
      .forEach((seed) => this.#request(seed));
    // Keeps the next tick from requesting the whole view a second time.
    this.#nextExchangeAt = now + this.#nextDelay(this.#view.table.present().length > 0);
  }

  /** Contacts a random lost peer once per period; it may be reachable again after a partition. */
  tick(now: number): void {
    if (now < this.#nextExchangeAt) {
      return;
    }
    this.#nextExchangeAt = now + this.#nextDelay(this.#view.table.present().length > 0);
    sample(this.#lostPeers(), 1, this.#view.random)
      .forEach((peer) => this.#request(peer));
  }

  /** Starts an exchange if the digest of a peer's view differs, at most once per repair interval. */
  compareDigest(peer: EntryRecord, viewDigest: number, now: number): void {
    if (viewDigest === this.#view.digest.combined || now < this.#nextRepairAt) {
      return;
    }
    this.#nextRepairAt = now + this.#view.settings.repairIntervalMilliseconds;
    this.#request({ kind: 'entry', entry: peer });
  }

  /** Merges without queueing: exchanges spread updates on their own, without piggybacking. */
  handle(message: ExchangeMessage, now: number): void {
    message.updates.forEach((update) => this.#view.merge(update, now));
    message.contacts.forEach((entry) => this.#view.remoteDirectory.add(entry));
    const { entry } = message.sender;
    switch (message.phase) {
      case 'request':
        this.#view.sendTo(entry, this.#message('answer', entry.region, message.digests));
        break;
      case 'answer':
        this.#complete(entry, message.digests);
        break;
      case 'completion':
        break;
      default:
        throw new Error(`unknown phase ${String(message.phase satisfies never)}`);
    }
  }

  #complete(peer: EntryRecord, digests: readonly number[]): void {
    const completion = this.#message('completion', peer.region, digests);
    if (completion.updates.length > 0) {
      this.#view.sendTo(peer, completion);
    }
  }

  #request(to: PeerTarget): void {
    const region = to.kind === 'entry' ? to.entry.region : this.#view.self.entry.region;
    this.#view.send(to, this.#message('request', region));
  }

  /**
   * Updates are sent within a region only; peers in other regions receive a few contacts.
   * `digests` are those of the peer; without them no updates are sent.
   */
  #message(
    phase: ExchangeMessage['phase'],
    region: RegionId,
    digests?: readonly number[],
  ): ExchangeMessage {
    const isSameRegion = region === this.#view.self.entry.region;
    return {
      kind: 'exchange',
      phase,
      sender: this.#view.self,
      head: this.#view.head,
      digests: isSameRegion && phase !== 'completion' ? this.#view.digest.buckets() : [],
      updates: isSameRegion && digests !== undefined ? this.#updates(digests) : [],
      contacts: this.#contacts(isSameRegion, phase),
    };
  }

  #contacts(isSameRegion: boolean, phase: ExchangeMessage['phase']): EntryRecord[] {
    if (!isSameRegion) {
      return [...this.#view.samplePresent(CONTACTS_FOR_OTHER_REGION)];
    }
    return phase === 'answer' ? [...this.#view.remoteDirectory.sample(CONTACTS_PER_REGION)] : [];
  }

  #updates(digests: readonly number[]): MemberUpdate[] {
    return this.#view.table.all()
      .map(({ update }) => update)
      .filter(({ entry }) => this.#view.digest.differs(entry.entry, digests));
  }

  /** Dead members and unknown seeds, which may be reachable again after a partition. */
  #lostPeers(): readonly PeerTarget[] {
    const members = this.#view.table.all().map(({ update }) => update);
    const addresses = new Set(members
      .filter(({ liveness }) => liveness !== 'dead')
      .map(({ entry }) => entry.peerAddress));
    const dead = members
      .filter(({ liveness }) => liveness === 'dead')
      .map(({ entry }): PeerTarget => ({ kind: 'entry', entry }));
    const seeds = this.#seeds.filter((seed) => (seed.kind === 'entry'
      // Bridges contact the entries of other regions.
      ? seed.entry.region === this.#view.self.entry.region && !addresses.has(seed.entry.peerAddress)
      : !addresses.has(seed.address) && !this.#view.remoteDirectory.hasAddress(seed.address)));
    return [...dead, ...seeds];
  }

  #isSelf(seed: PeerTarget): boolean {
    const { entry, peerAddress } = this.#view.self.entry;
    return seed.kind === 'entry' ? seed.entry.entry === entry : seed.address === peerAddress;
  }

  /** Random delay around the mean period; until a peer is found, the period is that of probes. */
  #nextDelay(hasPeers: boolean): number {
    const { exchangePeriodMilliseconds, probePeriodMilliseconds } = this.#view.settings;
    const period = hasPeers ? exchangePeriodMilliseconds : probePeriodMilliseconds;
    return period * (0.5 + this.#view.random.next());
  }
}
