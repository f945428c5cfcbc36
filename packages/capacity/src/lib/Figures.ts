import type Measurement from './Measurement.js';

/** Measured figures by name. */
export default class Figures {
  readonly all: readonly Measurement[];

  readonly #values: ReadonlyMap<string, number>;

  constructor(all: readonly Measurement[]) {
    this.all = all;
    this.#values = new Map(all.map(({ name, value }) => [name, value]));
  }

  /** The value of a figure. A figure that was not measured throws a RangeError. */
  of(name: string): number {
    const value = this.#values.get(name);
    if (value === undefined) {
      throw new RangeError(`${name} was not measured`);
    }
    return value;
  }
}
