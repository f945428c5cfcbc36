import type { EntryRecord, RandomSource } from '@dandelionlane/core';
import type PeerMessage from '../lib/messages/PeerMessage.js';
import type DisseminationProcess from './DisseminationProcess.js';
import type MembershipProcess from './MembershipProcess.js';

/** Behaviour and faults of a `FakeNetwork`. */
export default interface FakeNetworkOptions {
  readonly seed: number;
  /** Share of messages lost. */
  readonly loss: number;
  /** Share of messages delivered twice. */
  readonly duplication: number;
  readonly minimumDelayMilliseconds: number;
  readonly maximumDelayMilliseconds: number;
  /** Added between regions. */
  readonly regionDelayMilliseconds: number;
  readonly tickMilliseconds: number;
  readonly createMembership: (self: EntryRecord, random: RandomSource) => MembershipProcess;
  readonly createDissemination: (self: EntryRecord, random: RandomSource) => DisseminationProcess;
  /** Watches every message between two addresses and returns what the receiver gets. */
  readonly interceptMessage?: (from: string, to: string, message: PeerMessage) => PeerMessage;
}
