const EVENT_END = /\r?\n\r?\n/;
const DATA_PREFIX = /^data: ?/;

/** Splits a stream of server-sent events into the data of each. */
export default class EventParser {
  readonly #decoder = new TextDecoder();

  #rest = '';

  /** The data of the events that end in these bytes. */
  push(bytes: Uint8Array): readonly string[] {
    this.#rest += this.#decoder.decode(bytes, { stream: true });
    const events = this.#rest.split(EVENT_END);
    this.#rest = events.pop() ?? '';
    return events.map((event) => event
      .split(/\r?\n/)
      .filter((line) => DATA_PREFIX.test(line))
      .map((line) => line.replace(DATA_PREFIX, ''))
      .join('\n'));
  }
}
