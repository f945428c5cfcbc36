import type { EntryRecord } from '@dandelionlane/core';
import type MemberUpdate from '../messages/MemberUpdate.js';
import type PeerMessage from '../messages/PeerMessage.js';
import type GroupView from './GroupView.js';
import type PeerTarget from './PeerTarget.js';
import sample from './sample.js';

type ExchangeMessage = Extract<PeerMessage, { kind: 'exchange' }>;

const SEEDS_AT_ONCE = 3;
const CONTACTS_PER_REGION = 1;
const CONTACTS_FOR_OTHER_REGION = 3;

/** Anti-entropy: now and then exchanges whole views with a peer, and finds lost peers again. */
export default class Exchanger {
  readonly #view: GroupView;

  #seeds: readonly PeerTarget[] = [];

  #nextExchangeAt = Number.NEGATIVE_INFINITY;

  constructor(view: GroupView) {
    this.#view = view;
  }

  setSeeds(seeds: readonly PeerTarget[]): void {
    this.#seeds = seeds.filter((seed) => !this.#isSelf(seed));
    seeds.forEach((seed) => {
      if (seed.kind === 'entry') {
        this.#view.remote.note(seed.entry);
      }
    });
    sample(this.#lostPeers(), SEEDS_AT_ONCE, this.#view.random)
      .forEach((seed) => this.#request(seed));
  }

  tick(now: number): void {
    if (now < this.#nextExchangeAt) {
      return;
    }
    const present = this.#view.samplePresent(1);
    this.#nextExchangeAt = now + this.#wait(present.length > 0);
    present.forEach((entry) => this.#request({ kind: 'entry', entry }));
    // Peers on the other side of a healed partition are dead or forgotten here.
    sample(this.#lostPeers(), 1, this.#view.random)
      .forEach((peer) => this.#request(peer));
  }

  take(message: ExchangeMessage, now: number): void {
    message.updates.forEach((update) => this.#view.apply(update, now));
    message.contacts.forEach((entry) => this.#view.remote.note(entry));
    if (message.phase === 'request') {
      this.#answer(message.sender.entry);
    }
  }

  #request(to: PeerTarget): void {
    const sameRegion = to.kind === 'entry' && to.entry.region === this.#view.self.entry.region;
    this.#view.send(to, this.#message('request', sameRegion));
  }

  #answer(receiver: EntryRecord): void {
    const sameRegion = receiver.region === this.#view.self.entry.region;
    this.#view.sendTo(receiver, this.#message('answer', sameRegion));
  }

  /** Whole views stay inside a region: towards others only a few contacts are named. */
  #message(phase: 'request' | 'answer', sameRegion: boolean): ExchangeMessage {
    return {
      kind: 'exchange',
      phase,
      sender: this.#view.self,
      head: this.#view.head,
      updates: sameRegion ? this.#updates() : [],
      contacts: [...(sameRegion
        ? this.#view.remote.sample(CONTACTS_PER_REGION)
        : this.#view.samplePresent(CONTACTS_FOR_OTHER_REGION))],
    };
  }

  #updates(): MemberUpdate[] {
    return this.#view.table.all().map(({ update }) => update);
  }

  /** Seeds and dead members: those that a healed partition may have brought back. */
  #lostPeers(): readonly PeerTarget[] {
    const members = this.#view.table.all().map(({ update }) => update);
    const addresses = new Set(members
      .filter(({ liveness }) => liveness !== 'dead')
      .map(({ entry }) => entry.peerAddress));
    const dead = members
      .filter(({ liveness }) => liveness === 'dead')
      .map(({ entry }): PeerTarget => ({ kind: 'entry', entry }));
    const seeds = this.#seeds.filter((seed) => (seed.kind === 'entry'
      // Entries of other regions are the bridges' concern.
      ? seed.entry.region === this.#view.self.entry.region && !addresses.has(seed.entry.peerAddress)
      : !addresses.has(seed.address) && !this.#view.remote.hasAddress(seed.address)));
    return [...dead, ...seeds];
  }

  #isSelf(seed: PeerTarget): boolean {
    const { entry, peerAddress } = this.#view.self.entry;
    return seed.kind === 'entry' ? seed.entry.entry === entry : seed.address === peerAddress;
  }

  /** Exchanges are spread at random about the mean period, and frequent until a peer is found. */
  #wait(found: boolean): number {
    const { exchangePeriodMilliseconds, probePeriodMilliseconds } = this.#view.settings;
    const period = found ? exchangePeriodMilliseconds : probePeriodMilliseconds;
    return period * (0.5 + this.#view.random.next());
  }
}
