import type { EntryRecord } from '@dandelionlane/core';
import type MembershipCommand from '../lib/membership/MembershipCommand.js';
import type MembershipEvent from '../lib/membership/MembershipEvent.js';
import type ReleaseDisseminationEvent from '../lib/release/ReleaseDisseminationEvent.js';
import type DisseminationProcess from './DisseminationProcess.js';
import type MembershipProcess from './MembershipProcess.js';
import type OutboundCommand from './OutboundCommand.js';

/** Simulated entry process that connects membership and dissemination as the real process does. */
export default class FakeEntry {
  readonly record: EntryRecord;

  readonly membership: MembershipProcess;

  readonly dissemination: DisseminationProcess;

  /** Total time spent in steps. */
  stepMilliseconds = 0;

  #membersChanged = true;

  #outbound: OutboundCommand[] = [];

  constructor(record: EntryRecord, membership: MembershipProcess, dissemination: DisseminationProcess) {
    this.record = record;
    this.membership = membership;
    this.dissemination = dissemination;
  }

  tick(now: number): readonly OutboundCommand[] {
    return this.#run(() => {
      if (this.#membersChanged) {
        this.#membersChanged = false;
        this.#stepDissemination({
          kind: 'members',
          members: this.membership.members(),
          remoteEntries: this.membership.remoteEntries(),
        }, now);
      }
      this.#stepMembership({ kind: 'tick' }, now);
      this.#stepDissemination({ kind: 'tick' }, now);
    });
  }

  stepMembership(event: MembershipEvent, now: number): readonly OutboundCommand[] {
    return this.#run(() => this.#stepMembership(event, now));
  }

  stepDissemination(event: ReleaseDisseminationEvent, now: number): readonly OutboundCommand[] {
    return this.#run(() => this.#stepDissemination(event, now));
  }

  #run(action: () => void): readonly OutboundCommand[] {
    const startedAt = performance.now();
    action();
    this.stepMilliseconds += performance.now() - startedAt;
    const outbound = this.#outbound;
    this.#outbound = [];
    return outbound;
  }

  #stepMembership(event: MembershipEvent, now: number): void {
    this.membership.step({ kind: 'release-head', head: this.dissemination.head() }, now);
    this.membership.step(event, now).forEach((command) => this.#handleMembershipCommand(command, now));
  }

  #handleMembershipCommand(command: MembershipCommand, now: number): void {
    switch (command.kind) {
      case 'send':
        this.#outbound.push(command);
        break;
      case 'member-changed':
        this.#membersChanged = true;
        break;
      case 'head-heard':
        this.#stepDissemination({ kind: 'peer-head', peer: command.peer, head: command.head }, now);
        break;
      default:
        throw new Error(`unknown command ${String(command satisfies never)}`);
    }
  }

  #stepDissemination(event: ReleaseDisseminationEvent, now: number): void {
    this.dissemination.step(event, now).forEach((command) => {
      if (command.kind === 'announce') {
        this.#stepMembership({ kind: 'announce', to: command.to }, now);
      } else {
        this.#outbound.push(command);
      }
    });
  }
}
