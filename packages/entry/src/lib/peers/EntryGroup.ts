import {
  type Clock, type EntryId, type EntryRecord, type RandomSource, type ServiceId,
} from '@dandelionlane/core';
import {
  chooseHomes, eligibleEntries, Membership, MembershipSettings, ReleaseDissemination,
  ReleaseDisseminationSettings,
  type Member, type MembershipCommand, type MembershipEvent, type PeerTarget,
  type ReleaseDisseminationCommand, type ReleaseDisseminationEvent,
} from '@dandelionlane/membership';
import type ReleaseTracker from '../release/ReleaseTracker.js';
import type PeerEnvelope from './PeerEnvelope.js';

const HOME_COUNT = 3;

/** Dependencies and settings of an `EntryGroup`. */
interface EntryGroupOptions {
  readonly self: EntryRecord;
  readonly seeds: readonly string[];
  readonly probePeriodMilliseconds: number;
  readonly pollPeriodMilliseconds: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly release: ReleaseTracker;
  readonly send: (address: string, envelope: PeerEnvelope) => void;
}

/**
 * The group of entries that this entry is a member of. Runs the membership protocol and the
 * dissemination of releases over the peer transport, and selects the home entries of services.
 */
export default class EntryGroup {
  readonly #options: EntryGroupOptions;

  readonly #membership: Membership;

  readonly #dissemination: ReleaseDissemination;

  readonly #tickMilliseconds: number;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: EntryGroupOptions) {
    this.#options = options;
    const settings = MembershipSettings.parse({ probePeriodMilliseconds: options.probePeriodMilliseconds });
    this.#tickMilliseconds = settings.tickMilliseconds;
    this.#membership = new Membership({ self: options.self, random: options.random, settings });
    this.#dissemination = new ReleaseDissemination({
      self: options.self,
      random: options.random,
      settings: ReleaseDisseminationSettings.parse({
        pollPeriodMilliseconds: options.pollPeriodMilliseconds,
      }),
      sequenceInForce: options.release.sequence(),
    });
    options.release.onChange((state) => {
      this.#stepRelease({ kind: 'in-force', sequence: state.sequence });
    });
  }

  start(): void {
    const peers = this.#options.seeds
      .filter((address) => address !== this.#options.self.peerAddress)
      .map((address): PeerTarget => ({ kind: 'address', address }));
    this.#stepMembership({ kind: 'seeds', peers });
    this.#timer = setInterval(() => {
      this.#stepMembership({ kind: 'tick' });
      this.#stepRelease({ kind: 'tick' });
    }, this.#tickMilliseconds);
    this.#stepRelease({ kind: 'tick' });
  }

  /** Announces to the members that this entry is leaving. Keeps exchanging messages until `stop`. */
  leave(): void {
    this.#stepMembership({ kind: 'leave' });
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** All members, this entry first. */
  members(): readonly Member[] {
    return [this.#membership.self(), ...this.#membership.members()];
  }

  /** The home entries of a service, which hold its live state, in order of preference. */
  homesOf(service: ServiceId): readonly EntryRecord[] {
    const out = this.#options.release.state()?.availabilityZonesOut ?? [];
    return chooseHomes(service, eligibleEntries(this.members(), out), HOME_COUNT);
  }

  isHome(service: ServiceId): boolean {
    return this.homesOf(service).some(({ entry }) => entry === this.#options.self.entry);
  }

  receive(envelope: PeerEnvelope, reply: (answer: PeerEnvelope) => void): void {
    switch (envelope.kind) {
      case 'membership':
        this.#stepMembership({ kind: 'message', from: envelope.from, message: envelope.message });
        return;
      case 'release-pull':
        this.#answerPull(envelope.after, reply);
        return;
      case 'release-state':
        this.#options.release.merge(envelope.state, `peer ${envelope.from}`);
        return;
      default:
        envelope satisfies never;
    }
  }

  sendFailed(address: string): void {
    const member = this.#membership.members().find(({ entry }) => entry.peerAddress === address);
    if (member !== undefined) {
      this.#stepMembership({ kind: 'send-failed', to: { kind: 'entry', entry: member.entry } });
    }
  }

  #answerPull(after: number, reply: (answer: PeerEnvelope) => void): void {
    const state = this.#options.release.state();
    if (state !== null && state.sequence > after) {
      reply({ kind: 'release-state', from: this.#self(), state });
    }
  }

  #self(): EntryId {
    return this.#options.self.entry;
  }

  #stepMembership(event: MembershipEvent): void {
    const now = this.#options.clock.monotonicMilliseconds();
    this.#membership.step(event, now).forEach((command) => this.#executeMembershipCommand(command));
  }

  #stepRelease(event: ReleaseDisseminationEvent): void {
    const now = this.#options.clock.monotonicMilliseconds();
    const commands = this.#dissemination.step(event, now);
    this.#stepMembership({ kind: 'release-head', head: this.#dissemination.head() });
    commands.forEach((command) => this.#executeReleaseCommand(command));
  }

  #executeMembershipCommand(command: MembershipCommand): void {
    switch (command.kind) {
      case 'send': {
        const { to, message } = command;
        const address = to.kind === 'entry' ? to.entry.peerAddress : to.address;
        this.#options.send(address, { kind: 'membership', from: this.#self(), message });
        return;
      }
      case 'member-changed':
        this.#stepRelease({
          kind: 'members',
          members: this.#membership.members(),
          remoteEntries: this.#membership.remoteEntries(),
        });
        return;
      case 'head-heard':
        this.#stepRelease({ kind: 'peer-head', peer: command.peer, head: command.head });
        return;
      default:
        command satisfies never;
    }
  }

  #executeReleaseCommand(command: ReleaseDisseminationCommand): void {
    switch (command.kind) {
      case 'poll-store':
      case 'read-store':
        void this.#readStore();
        return;
      case 'pull-from':
        this.#options.send(command.peer.peerAddress, {
          kind: 'release-pull', from: this.#self(), after: command.after,
        });
        return;
      case 'announce':
        this.#stepMembership({ kind: 'announce', to: command.to });
        return;
      default:
        command satisfies never;
    }
  }

  async #readStore(): Promise<void> {
    const read = await this.#options.release.readStore();
    if (read.isErr()) {
      this.#stepRelease({ kind: 'poll-failed' });
      return;
    }
    this.#stepRelease({ kind: 'store-head', sequence: this.#options.release.sequence() });
  }
}
