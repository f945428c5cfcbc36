const WHOLE_NUMBER = /^\d{1,15}$/;

/** Checks that the events of a stream, over all its runs, come in order and once. */
export default class EventSequence {
  #last: string | null;

  /** @param lastId Last event that the caller already has. */
  constructor(lastId: string | null) {
    this.#last = lastId;
  }

  /** Id of the last event accepted. */
  get lastId(): string | null {
    return this.#last;
  }

  /**
   * Takes an event. `next`: deliver it. `repeated`: the caller has it. `gap`: an event before it
   * is missing. Ids are compared as numbers where they are numbers.
   */
  accept(id: string | null): 'next' | 'repeated' | 'gap' {
    if (id === null) {
      return 'next';
    }
    if (this.#last !== null && WHOLE_NUMBER.test(id) && WHOLE_NUMBER.test(this.#last)) {
      const step = Number(id) - Number(this.#last);
      if (step <= 0) {
        return 'repeated';
      }
      if (step > 1) {
        return 'gap';
      }
    }
    this.#last = id;
    return 'next';
  }
}
