import type {
  EntryId, EntryRecord, RandomSource, ReleaseSequence,
} from '@dandelionlane/core';

/** A peer and its sequence in force. */
interface PeerHead {
  readonly peer: EntryRecord;
  readonly sequence: ReleaseSequence;
}

/** Peers whose sequence in force is known to be ahead of this entry. */
export default class PeerHeads {
  readonly #self: EntryRecord;

  readonly #random: RandomSource;

  readonly #heads = new Map<EntryId, PeerHead>();

  constructor(self: EntryRecord, random: RandomSource) {
    this.#self = self;
    this.#random = random;
  }

  record(peer: EntryRecord, sequence: ReleaseSequence): void {
    this.#heads.set(peer.entry, { peer, sequence });
  }

  drop(entry: EntryId): void {
    this.#heads.delete(entry);
  }

  /** Drops peers that this entry has caught up with. */
  dropUpTo(sequence: ReleaseSequence): void {
    [...this.#heads.values()]
      .filter((head) => head.sequence <= sequence)
      .forEach((head) => this.#heads.delete(head.peer.entry));
  }

  /** The peer to pull from: the highest sequence, then the shortest distance, then random. */
  choose(): EntryRecord | undefined {
    const heads = [...this.#heads.values()];
    const highest = Math.max(0, ...heads.map(({ sequence }) => sequence));
    const ahead = heads.filter(({ sequence }) => sequence === highest).map(({ peer }) => peer);
    const nearest = Math.min(...ahead.map((peer) => this.#distance(peer)));
    const candidates = ahead.filter((peer) => this.#distance(peer) === nearest);
    return candidates[Math.floor(this.#random.next() * candidates.length)];
  }

  /** 0 in the same availability zone, 1 in the same region, 2 in another region. */
  #distance({ availabilityZone, region }: EntryRecord): number {
    if (availabilityZone === this.#self.availabilityZone) {
      return 0;
    }
    return region === this.#self.region ? 1 : 2;
  }
}
