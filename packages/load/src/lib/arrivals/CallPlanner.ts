import { IdempotencyKey, type RandomSource } from '@dandelionlane/core';
import type TrafficSettings from '../settings/TrafficSettings.js';
import type PlannedCall from './PlannedCall.js';
import type PlannedChat from './PlannedChat.js';
import type PlannedKeyed from './PlannedKeyed.js';

const REMEMBERED_KEYS = 16;

type ChatTraffic = Extract<TrafficSettings, { kind: 'chat' }>;
type KeyedTraffic = Extract<TrafficSettings, { kind: 'keyed' }>;

/** Makes the content of calls from a random source. */
export default class CallPlanner {
  readonly #random: RandomSource;

  /** The latest keyed calls by team and service, to be sent again. */
  readonly #sent = new Map<string, PlannedKeyed[]>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** The content of a call. `name` differs between calls and is part of the content. */
  plan(team: string, traffic: TrafficSettings, name: string): PlannedCall['content'] {
    switch (traffic.kind) {
      case 'chat':
        return this.#planChat(traffic, name);
      case 'plain':
        return { kind: 'plain', note: name, delayMilliseconds: traffic.delayMilliseconds };
      case 'keyed':
        return this.#planKeyed(`${team} ${traffic.service}`, traffic, name);
      default:
        return traffic satisfies never;
    }
  }

  #planChat(traffic: ChatTraffic, name: string): PlannedChat {
    const prefix = this.#below(traffic.prefixes);
    return {
      kind: 'chat',
      prompt: `You answer for ${traffic.service} in the manner of instruction number ${prefix}. Question ${name}.`,
      maximumTokens: 1 + this.#below(traffic.maximumTokens),
      stream: this.#random.next() < traffic.streamShare,
      priority: traffic.priority,
    };
  }

  #planKeyed(owner: string, traffic: KeyedTraffic, name: string): PlannedKeyed {
    const sent = this.#sent.get(owner) ?? [];
    this.#sent.set(owner, sent);
    const repeats = this.#random.next() < traffic.repeatShare;
    const earlier = repeats ? sent[this.#below(sent.length)] : undefined;
    if (earlier !== undefined) {
      return earlier;
    }
    const call: PlannedKeyed = {
      kind: 'keyed', key: IdempotencyKey.parse(name), slot: name, delayMilliseconds: traffic.delayMilliseconds,
    };
    sent.push(call);
    sent.splice(0, sent.length - REMEMBERED_KEYS);
    return call;
  }

  #below(limit: number): number {
    return Math.floor(this.#random.next() * limit);
  }
}
