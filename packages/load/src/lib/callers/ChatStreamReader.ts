import type { Clock } from '@dandelionlane/core';
import type CallOutcome from './CallOutcome.js';
import EventParser from './EventParser.js';
import readChatEvent from './readChatEvent.js';

/**
 * Reads a streamed chat answer and checks it against the expected text, so that a
 * gap, a repeat or a token of another answer shows.
 */
export default class ChatStreamReader {
  readonly tokenTimes: number[] = [];

  readonly #expected: string;

  readonly #clock: Clock;

  readonly #parser = new EventParser();

  #text = '';

  #stopped = false;

  #ended = false;

  #final: CallOutcome | undefined;

  constructor(expected: string, clock: Clock) {
    this.#expected = expected;
    this.#clock = clock;
  }

  push(bytes: Uint8Array): void {
    this.#parser.push(bytes).filter((data) => data !== '').forEach((data) => this.#take(data));
  }

  /** The outcome once the stream has ended, by itself or by a broken connection. */
  outcome(): CallOutcome {
    if (this.#final !== undefined) {
      return this.#final;
    }
    if (!this.#expected.startsWith(this.#text)) {
      return { kind: 'wrong', detail: this.#describe() };
    }
    if (!this.#ended || !this.#stopped) {
      return { kind: 'broken', detail: `stream ended after ${this.tokenTimes.length} tokens` };
    }
    return this.#text === this.#expected ? { kind: 'answered' } : { kind: 'wrong', detail: this.#describe() };
  }

  #take(data: string): void {
    const event = readChatEvent(data);
    if (this.#ended) {
      this.#final ??= { kind: 'wrong', detail: 'events after the end of the stream' };
      return;
    }
    switch (event.kind) {
      case 'token':
        this.#text += event.text;
        this.tokenTimes.push(this.#clock.monotonicMilliseconds());
        return;
      case 'stop':
        this.#stopped = true;
        return;
      case 'done':
        this.#ended = true;
        return;
      case 'problem':
        this.#final ??= { kind: 'refused', problem: event.problem };
        return;
      case 'unknown':
        this.#final ??= { kind: 'wrong', detail: `not a chat event: ${data.slice(0, 80)}` };
        return;
      default:
        event satisfies never;
    }
  }

  #describe(): string {
    const words = this.#text.split(' ');
    const expected = this.#expected.split(' ');
    const at = words.findIndex((word, index) => word !== expected[index]);
    return at < 0
      ? `${words.length} of ${expected.length} tokens`
      : `token ${at} is ${words[at] ?? ''}, not ${expected[at] ?? 'absent'}`;
  }
}
