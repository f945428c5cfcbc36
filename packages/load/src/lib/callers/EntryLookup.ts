import { EntriesDocument, type ServiceId } from '@dandelionlane/core';
import { request } from 'undici';
import type CallerParts from './CallerParts.js';

const MILLISECONDS_PER_SECOND = 1_000;
const LOOKUP_TIMEOUT_MILLISECONDS = 2_000;

interface KeptAnswer {
  readonly addresses: readonly string[];
  readonly until: number;
}

/** Asks which entries to use for a service and keeps the answer for as long as it says. */
export default class EntryLookup {
  /** The entry that answered last comes first. */
  #entries: readonly string[];

  readonly #parts: CallerParts;

  readonly #kept = new Map<ServiceId, KeptAnswer>();

  readonly #pending = new Map<ServiceId, Promise<readonly string[]>>();

  constructor(entries: readonly string[], parts: CallerParts) {
    this.#entries = entries;
    this.#parts = parts;
  }

  /** Addresses to use, best first. Empty when no entry answers. */
  find(service: ServiceId): Promise<readonly string[]> {
    const kept = this.#kept.get(service);
    if (kept !== undefined && kept.until > this.#parts.clock.monotonicMilliseconds()) {
      return Promise.resolve(kept.addresses);
    }
    const pending = this.#pending.get(service) ?? this.#refresh(service);
    this.#pending.set(service, pending);
    return pending;
  }

  /** Forgets the answer for a service, after an address of it failed. */
  forget(service: ServiceId): void {
    this.#kept.delete(service);
  }

  async #refresh(service: ServiceId): Promise<readonly string[]> {
    const addresses = await this.#askInTurn(service);
    this.#pending.delete(service);
    return addresses;
  }

  async #askInTurn(service: ServiceId): Promise<readonly string[]> {
    for (const [index, entry] of this.#entries.entries()) {
      const document = await this.#ask(entry, service).catch(() => undefined);
      const entries = document?.entries ?? [];
      if (entries.length > 0) {
        const keepSeconds = Math.min(...entries.map((candidate) => candidate.keepSeconds));
        const until = this.#parts.clock.monotonicMilliseconds() + keepSeconds * MILLISECONDS_PER_SECOND;
        const addresses = entries.map(({ address }) => address);
        this.#entries = [...this.#entries.slice(index), ...this.#entries.slice(0, index)];
        this.#kept.set(service, { addresses, until });
        return addresses;
      }
    }
    return [];
  }

  async #ask(entry: string, service: ServiceId): Promise<EntriesDocument | undefined> {
    const answer = await request(`http://${entry}/v1/entries?service=${encodeURIComponent(service)}`, {
      dispatcher: this.#parts.dispatcher,
      signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MILLISECONDS),
    });
    return EntriesDocument.safeParse(await answer.body.json()).data;
  }
}
