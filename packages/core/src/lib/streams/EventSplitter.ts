const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const MAXIMUM_EVENT_BYTES = 1_024 * 1_024;

/**
 * Splits a byte stream of server-sent events into events. Works on bytes, as a chunk
 * may end in the middle of a character.
 */
export default class EventSplitter {
  #partialEvent: Buffer = Buffer.alloc(0);

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.length > 0;
  }

  /** Bytes of the incomplete event that is buffered. */
  get partialBytes(): number {
    return this.#partialEvent.length;
  }

  /**
   * Adds a chunk and returns the events that it completes, each with the blank line that ends it.
   * Throws a RangeError for an event over 1 MiB.
   */
  push(chunk: Buffer): readonly Buffer[] {
    const data = this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
    const events: Buffer[] = [];
    let start = 0;
    let end = EventSplitter.#findEnd(data, start);
    while (end !== -1) {
      events.push(data.subarray(start, end));
      start = end;
      end = EventSplitter.#findEnd(data, start);
    }
    this.#partialEvent = data.subarray(start);
    if (this.#partialEvent.length > MAXIMUM_EVENT_BYTES) {
      throw new RangeError('event is larger than 1 MiB');
    }
    return events;
  }

  /** Index after the blank line that ends the event at `from`, or -1. */
  static #findEnd(data: Buffer, from: number): number {
    let index = data.indexOf(LINE_FEED, from);
    while (index !== -1) {
      if (data[index + 1] === LINE_FEED) {
        return index + 2;
      }
      if (data[index + 1] === CARRIAGE_RETURN && data[index + 2] === LINE_FEED) {
        return index + 3;
      }
      index = data.indexOf(LINE_FEED, index + 1);
    }
    return -1;
  }
}
