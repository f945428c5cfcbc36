import type { EntryRecord, RandomSource } from '@dandelionlane/core';
import type PeerMessage from '../lib/messages/PeerMessage.js';
import type DisseminationProcess from './DisseminationProcess.js';
import type MembershipProcess from './MembershipProcess.js';

/** Options of a `FakeNetwork`, including its faults. */
export default interface FakeNetworkOptions {
  readonly seed: number;
  /** Share of messages that are lost. */
  readonly loss: number;
  /** Share of messages that are sent twice. */
  readonly duplication: number;
  readonly minimumDelayMilliseconds: number;
  readonly maximumDelayMilliseconds: number;
  /** Additional delay of messages between regions. */
  readonly regionDelayMilliseconds: number;
  readonly tickMilliseconds: number;
  readonly createMembership: (self: EntryRecord, random: RandomSource) => MembershipProcess;
  readonly createDissemination: (self: EntryRecord, random: RandomSource) => DisseminationProcess;
  /** Called with every sent message; returns the message to deliver instead. */
  readonly interceptMessage?: (from: string, to: string, message: PeerMessage) => PeerMessage;
}
