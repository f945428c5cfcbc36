import { type EntryId, type EntryRecord, ReleaseSequence } from '@dandelionlane/core';
import type Member from '../lib/membership/Member.js';
import type MembershipCommand from '../lib/membership/MembershipCommand.js';
import type MembershipEvent from '../lib/membership/MembershipEvent.js';
import type ReleaseHead from '../lib/messages/ReleaseHead.js';
import type MembershipProcess from './MembershipProcess.js';

const HEARTBEAT_MILLISECONDS = 1_000;
const DEAD_AFTER_MILLISECONDS = 5_000;

/** A peer with the time and the sequence of its last heartbeat. */
interface PeerHeartbeat {
  readonly entry: EntryRecord;
  readonly receivedAtMilliseconds: number;
  readonly sequenceInForce: ReleaseSequence;
}

/** Naive baseline: every entry sends a heartbeat to every other entry each second. */
export default class HeartbeatMesh implements MembershipProcess {
  readonly #self: EntryRecord;

  readonly #peers = new Map<EntryId, PeerHeartbeat>();

  #head: ReleaseHead = { sequenceInForce: ReleaseSequence.parse(0), storeReads: 0 };

  #nextHeartbeatAt = Number.NEGATIVE_INFINITY;

  #now = 0;

  constructor(self: EntryRecord, peers: readonly EntryRecord[]) {
    this.#self = self;
    peers
      .filter(({ entry }) => entry !== self.entry)
      .forEach((entry) => this.#peers.set(entry.entry, {
        entry, receivedAtMilliseconds: 0, sequenceInForce: ReleaseSequence.parse(0),
      }));
  }

  step(event: MembershipEvent, now: number): readonly MembershipCommand[] {
    this.#now = now;
    switch (event.kind) {
      case 'tick':
        return this.#tick(now);
      case 'message':
        return this.#handleMessage(event, now);
      case 'release-head':
        this.#head = event.head;
        return [];
      default:
        return [];
    }
  }

  members(): readonly Member[] {
    return [...this.#peers.values()].map(({ entry, receivedAtMilliseconds, sequenceInForce }) => ({
      entry,
      state: this.#now - receivedAtMilliseconds > DEAD_AFTER_MILLISECONDS ? 'dead' : 'alive',
      sequenceInForce,
    }));
  }

  // eslint-disable-next-line class-methods-use-this -- implements an interface
  remoteEntries(): readonly EntryRecord[] {
    return [];
  }

  #tick(now: number): readonly MembershipCommand[] {
    if (now < this.#nextHeartbeatAt) {
      return [];
    }
    this.#nextHeartbeatAt = now + HEARTBEAT_MILLISECONDS;
    const sender = {
      entry: this.#self, refutation: 0, liveness: 'alive', leaving: false,
    } as const;
    return [...this.#peers.values()].map(({ entry }) => ({
      kind: 'send',
      to: { kind: 'entry', entry },
      message: {
        kind: 'release-head', sender, head: this.#head, contacts: [],
      },
    }));
  }

  #handleMessage(
    { message }: Extract<MembershipEvent, { kind: 'message' }>,
    now: number,
  ): readonly MembershipCommand[] {
    this.#peers.set(message.sender.entry.entry, {
      entry: message.sender.entry,
      receivedAtMilliseconds: now,
      sequenceInForce: message.head.sequenceInForce,
    });
    return [];
  }
}
