/** Maps offsets of a text to lines and columns, both counted from 1. */
export default class LinePositions {
  readonly #lineStarts: readonly number[];

  constructor(text: string) {
    const lineEnds = [...text.matchAll(/\r\n|\r|\n/g)];
    this.#lineStarts = [0, ...lineEnds.map((match) => match.index + match[0].length)];
  }

  /** Formats an offset as `line:column`. Columns count UTF-16 code units. */
  format(offset: number): string {
    const line = this.#findLine(offset);
    const start = this.#lineStarts[line] ?? 0;
    return `${line + 1}:${offset - start + 1}`;
  }

  /** Binary search. Invariant: the result is at least `low` and below `high`. */
  #findLine(offset: number): number {
    let low = 0;
    let high = this.#lineStarts.length;
    while (high - low > 1) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#lineStarts[middle] ?? 0) <= offset) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
