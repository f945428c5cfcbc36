const WHOLE_NUMBER = /^\d{1,15}$/;

/** Checks that the events of a stream arrive in order and once, over all its attempts. */
export default class EventSequence {
  #lastId: string | null;

  /** @param lastId Id of the last event that the caller already has, or null. */
  constructor(lastId: string | null) {
    this.#lastId = lastId;
  }

  /** Id of the last event accepted. */
  get lastId(): string | null {
    return this.#lastId;
  }

  /**
   * Checks the id of an event. `next`: deliver it. `repeated`: the caller already has it. `gap`: an
   * event before it is missing. Ids are compared only where they are whole numbers.
   */
  accept(id: string | null): 'next' | 'repeated' | 'gap' {
    if (id === null) {
      return 'next';
    }
    if (this.#lastId !== null && WHOLE_NUMBER.test(id) && WHOLE_NUMBER.test(this.#lastId)) {
      const step = Number(id) - Number(this.#lastId);
      if (step <= 0) {
        return 'repeated';
      }
      if (step > 1) {
        return 'gap';
      }
    }
    this.#lastId = id;
    return 'next';
  }
}
