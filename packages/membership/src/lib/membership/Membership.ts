import type { EntryRecord } from '@dandelionlane/core';
import type PeerMessage from '../messages/PeerMessage.js';
import Exchanger from './Exchanger.js';
import GroupView from './GroupView.js';
import type Member from './Member.js';
import type MembershipCommand from './MembershipCommand.js';
import type MembershipEvent from './MembershipEvent.js';
import type MembershipOptions from './MembershipOptions.js';
import Prober from './Prober.js';

type PiggybackMessage = Extract<PeerMessage, { viewDigest: number }>;

const CONTACTS_FOR_OTHER_REGION = 3;

/**
 * SWIM-style failure detector among the entries of one region. Deterministic: it performs no
 * input or output and has no timers. Its views are hints for routing; no guarantee depends on them.
 */
export default class Membership {
  readonly #view: GroupView;

  readonly #prober: Prober;

  readonly #exchanger: Exchanger;

  #lastTickAt: number | undefined;

  constructor(options: MembershipOptions) {
    this.#view = new GroupView(options);
    this.#prober = new Prober(this.#view);
    this.#exchanger = new Exchanger(this.#view);
  }

  /** Handles one event at a monotonic time and returns the commands to execute. */
  step(event: MembershipEvent, monotonicMilliseconds: number): readonly MembershipCommand[] {
    this.#detectPause(monotonicMilliseconds);
    this.#handle(event, monotonicMilliseconds);
    return this.#view.drainCommands();
  }

  /** Known other entries of the region, including dead ones. */
  members(): readonly Member[] {
    return this.#view.members();
  }

  /** A few entries of each other region. */
  remoteEntries(): readonly EntryRecord[] {
    return this.#view.remoteDirectory.all();
  }

  /** This entry as a member, with the state that it reports to its peers. */
  self(): Member {
    const { entry, leaving } = this.#view.self;
    const { sequenceInForce } = this.#view.head;
    return { entry, state: leaving ? 'leaving' : 'alive', sequenceInForce };
  }

  #handle(event: MembershipEvent, now: number): void {
    switch (event.kind) {
      case 'tick':
        this.#tick(now);
        break;
      case 'message':
        this.#handleMessage(event.message, now);
        break;
      case 'seeds':
        this.#exchanger.setSeeds(event.peers, now);
        break;
      case 'leave':
        this.#view.leave();
        break;
      case 'send-failed':
        this.#handleSendFailure(event);
        break;
      case 'release-head':
        this.#view.setHead(event.head);
        break;
      case 'announce':
        this.#announce(event.to);
        break;
      default:
        throw new Error(`unknown event ${String(event satisfies never)}`);
    }
  }

  /** A late tick means that this process was paused, so missing answers are not the fault of peers. */
  #detectPause(now: number): void {
    const { pauseThresholdMilliseconds, tickMilliseconds } = this.#view.settings;
    const delay = now - (this.#lastTickAt ?? now) - tickMilliseconds;
    if (delay < pauseThresholdMilliseconds) {
      return;
    }
    this.#lastTickAt = now;
    this.#view.table.postponeSuspicions(delay);
    this.#prober.recoverFromPause(now);
  }

  #tick(now: number): void {
    this.#lastTickAt = now;
    this.#expireSuspicions(now);
    this.#forgetDead(now);
    this.#prober.tick(now);
    this.#exchanger.tick(now);
  }

  #handleMessage(message: PeerMessage, now: number): void {
    if (message.sender.entry.entry === this.#view.self.entry.entry) {
      return;
    }
    this.#view.observe(message.sender, message.head, now);
    switch (message.kind) {
      case 'ping':
        this.#handlePiggyback(message, now);
        this.#prober.acknowledgePing(message);
        break;
      case 'ping-request':
        this.#handlePiggyback(message, now);
        this.#prober.relayPing(message, now);
        break;
      case 'ack':
        this.#handlePiggyback(message, now);
        this.#prober.handleAck(message);
        break;
      case 'exchange':
        this.#exchanger.handle(message, now);
        break;
      case 'release-head':
        message.contacts.forEach((entry) => this.#view.remoteDirectory.add(entry));
        break;
      default:
        throw new Error(`unknown message ${String(message satisfies never)}`);
    }
  }

  #handlePiggyback(message: PiggybackMessage, now: number): void {
    message.updates.forEach((update) => this.#view.apply(update, now));
    this.#exchanger.compareDigest(message.sender.entry, message.viewDigest, now);
  }

  #handleSendFailure({ to }: Extract<MembershipEvent, { kind: 'send-failed' }>): void {
    if (to.kind === 'entry') {
      this.#view.remoteDirectory.drop(to.entry);
      this.#prober.handleSendFailure(to.entry.entry);
    }
  }

  #announce(to: EntryRecord): void {
    const isSameRegion = to.region === this.#view.self.entry.region;
    this.#view.sendTo(to, {
      kind: 'release-head',
      sender: this.#view.self,
      head: this.#view.head,
      contacts: isSameRegion ? [] : [...this.#view.samplePresent(CONTACTS_FOR_OTHER_REGION)],
    });
  }

  #expireSuspicions(now: number): void {
    if (!this.#prober.canReportFailures(now)) {
      return;
    }
    const timeout = this.#suspicionMilliseconds();
    this.#view.table.withLiveness('suspect')
      .filter(({ changedAtMilliseconds }) => now - changedAtMilliseconds >= timeout)
      .forEach(({ update }) => this.#view.apply({ ...update, liveness: 'dead' }, now));
  }

  #suspicionMilliseconds(): number {
    const size = this.#view.table.size + 1;
    return this.#view.settings.suspicionMilliseconds * Math.max(1, Math.log10(size));
  }

  #forgetDead(now: number): void {
    const { forgetAfterMilliseconds } = this.#view.settings;
    this.#view.table.withLiveness('dead')
      .filter(({ changedAtMilliseconds }) => now - changedAtMilliseconds >= forgetAfterMilliseconds)
      .forEach(({ update }) => this.#view.table.forget(update.entry.entry));
  }
}
