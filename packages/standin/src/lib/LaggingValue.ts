import type { Clock } from '@dandelionlane/core';

/** A value whose changes become visible only after a lag. */
export default class LaggingValue<Value> {
  #visible: Value;

  #pending: { readonly visibleAt: number; readonly value: Value }[] = [];

  readonly #lagMilliseconds: number;

  readonly #clock: Clock;

  constructor(first: Value, lagMilliseconds: number, clock: Clock) {
    this.#visible = first;
    this.#lagMilliseconds = lagMilliseconds;
    this.#clock = clock;
  }

  /** Sets the value; readers see it after the lag. */
  set(value: Value): void {
    this.#pending.push({ visibleAt: this.#clock.monotonicMilliseconds() + this.#lagMilliseconds, value });
    this.#advance();
  }

  /** The value that readers see now. */
  get(): Value {
    this.#advance();
    return this.#visible;
  }

  #advance(): void {
    const now = this.#clock.monotonicMilliseconds();
    let [next] = this.#pending;
    while (next !== undefined && next.visibleAt <= now) {
      this.#visible = next.value;
      this.#pending.shift();
      [next] = this.#pending;
    }
  }
}
