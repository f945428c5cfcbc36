import { EntryId, type EntryRecord } from '@dandelionlane/core';
import type PeerMessage from '../messages/PeerMessage.js';
import type GroupView from './GroupView.js';
import LocalHealth from './LocalHealth.js';
import type Probe from './Probe.js';
import ProbeOrder from './ProbeOrder.js';
import type Relay from './Relay.js';

type PingMessage = Extract<PeerMessage, { kind: 'ping' }>;
type PingRequestMessage = Extract<PeerMessage, { kind: 'ping-request' }>;
type AckMessage = Extract<PeerMessage, { kind: 'ack' }>;

/** Probes one member per period: directly, then through other members; suspects it without an answer. */
export default class Prober {
  readonly #view: GroupView;

  readonly #order: ProbeOrder;

  readonly #health = new LocalHealth();

  readonly #relays = new Map<number, Relay>();

  #probe: Probe | undefined;

  #lastNumber = 0;

  #nextProbeAt = Number.NEGATIVE_INFINITY;

  #failureReportsFrom = Number.NEGATIVE_INFINITY;

  constructor(view: GroupView) {
    this.#view = view;
    this.#order = new ProbeOrder(view.random);
  }

  /** Whether this process may suspect members or declare them dead; false for a time after a pause. */
  canReportFailures(now: number): boolean {
    return now >= this.#failureReportsFrom;
  }

  /**
   * Drops the probes that were in flight before a pause and reports no failures for a time.
   * Peers may suspect this entry by now, so it refutes before their claims arrive.
   */
  recoverFromPause(now: number): void {
    this.#probe = undefined;
    this.#relays.clear();
    this.#failureReportsFrom = now + this.#view.settings.pauseRecoveryMilliseconds;
    this.#view.refutePreemptively();
    this.#view.samplePresent(this.#view.settings.indirectProbes)
      .forEach((peer) => this.#sendPing(peer, this.#nextNumber()));
  }

  tick(now: number): void {
    this.#expireRelays(now);
    this.#checkProbe(now);
    if (this.#probe === undefined && now >= this.#nextProbeAt) {
      this.#startProbe(now);
    }
  }

  /** Sends indirect probes at once when the direct probe could not be sent. */
  handleSendFailure(entry: EntryId): void {
    if (this.#probe?.target === entry && !this.#probe.isIndirect) {
      this.#probeIndirectly(this.#probe);
    }
  }

  acknowledgePing({ sender, probe }: PingMessage): void {
    this.#sendAck(sender.entry, probe, this.#view.self.entry.entry);
  }

  relayPing({ sender, probe, target }: PingRequestMessage, now: number): void {
    const number = this.#nextNumber();
    this.#relays.set(number, {
      requester: sender.entry,
      requesterProbe: probe,
      target: target.entry,
      startedAtMilliseconds: now,
    });
    this.#sendPing(target, number);
  }

  handleAck({ probe, subject }: AckMessage): void {
    const relay = this.#relays.get(probe);
    if (relay !== undefined && relay.target === subject) {
      this.#relays.delete(probe);
      this.#sendAck(relay.requester, relay.requesterProbe, subject);
    }
    if (this.#probe?.number === probe && this.#probe.target === subject) {
      this.#probe = undefined;
      this.#health.improve();
    }
  }

  #startProbe(now: number): void {
    const target = this.#order.next(this.#view.table);
    this.#nextProbeAt = now + this.#view.settings.probePeriodMilliseconds;
    if (target === undefined) {
      return;
    }
    const number = this.#nextNumber();
    this.#probe = {
      target, number, startedAtMilliseconds: now, isIndirect: false,
    };
    this.#sendPing(this.#view.table.get(target)!.update.entry, number);
  }

  #checkProbe(now: number): void {
    if (this.#probe === undefined) {
      return;
    }
    const { probePeriodMilliseconds, probeTimeoutMilliseconds } = this.#view.settings;
    const { suspectAfterMilliseconds } = this.#view.settings;
    const timeout = Math.max(probePeriodMilliseconds, suspectAfterMilliseconds) * this.#health.factor;
    const elapsed = now - this.#probe.startedAtMilliseconds;
    if (elapsed >= timeout) {
      this.#suspect(this.#probe.target, now);
    } else if (elapsed >= probeTimeoutMilliseconds && !this.#probe.isIndirect) {
      this.#probeIndirectly(this.#probe);
    }
  }

  #probeIndirectly(probe: Probe): void {
    this.#probe = { ...probe, isIndirect: true };
    const target = this.#view.table.get(probe.target)?.update.entry;
    if (target === undefined) {
      return;
    }
    this.#view.samplePresent(this.#view.settings.indirectProbes, [probe.target])
      .forEach((helper) => this.#view.sendTo(helper, {
        kind: 'ping-request',
        sender: this.#view.self,
        head: this.#view.head,
        probe: probe.number,
        updates: this.#view.piggyback(helper.entry),
        viewDigest: this.#view.digest.combined,
        target,
      }));
  }

  #suspect(target: EntryId, now: number): void {
    this.#probe = undefined;
    this.#health.worsen();
    const member = this.#view.table.get(target);
    if (member !== undefined && this.canReportFailures(now)) {
      this.#view.apply({ ...member.update, liveness: 'suspect' }, now);
      // Carries the claim, so that a running entry refutes it without delay.
      this.#sendPing(member.update.entry, this.#nextNumber());
    }
  }

  #sendPing(target: EntryRecord, number: number): void {
    this.#view.sendTo(target, {
      kind: 'ping',
      sender: this.#view.self,
      head: this.#view.head,
      probe: number,
      updates: this.#view.piggyback(target.entry),
      viewDigest: this.#view.digest.combined,
    });
  }

  #sendAck(receiver: EntryRecord, probe: number, subject: EntryId): void {
    this.#view.sendTo(receiver, {
      kind: 'ack',
      sender: this.#view.self,
      head: this.#view.head,
      probe,
      updates: this.#view.piggyback(receiver.entry),
      viewDigest: this.#view.digest.combined,
      subject,
    });
  }

  #expireRelays(now: number): void {
    const { suspectAfterMilliseconds } = this.#view.settings;
    [...this.#relays]
      .filter(([, relay]) => now - relay.startedAtMilliseconds > suspectAfterMilliseconds)
      .forEach(([number]) => this.#relays.delete(number));
  }

  #nextNumber(): number {
    this.#lastNumber += 1;
    return this.#lastNumber;
  }
}
