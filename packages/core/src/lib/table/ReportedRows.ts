import type TableRow from './TableRow.js';

/** Maximum rows that are remembered, oldest removed first. */
const MAXIMUM_ROWS = 1_000;

/** Rows that were reported as odd, so that a row that is read again and again is logged once a version. */
export default class ReportedRows {
  readonly #versions = new Map<string, number>();

  /** Records a row; returns whether this version of it is new. */
  add({ key, version }: Pick<TableRow, 'key' | 'version'>): boolean {
    if (this.#versions.get(key) === version) {
      return false;
    }
    this.#versions.delete(key);
    this.#versions.set(key, version);
    const [oldest] = this.#versions.keys();
    if (this.#versions.size > MAXIMUM_ROWS && oldest !== undefined) {
      this.#versions.delete(oldest);
    }
    return true;
  }
}
