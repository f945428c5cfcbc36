/** A row of the platform's store, as it goes over the wire. */
export default interface StoredRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  /** Base64; absent on a deleted row. */
  readonly value?: string;
  readonly ver: number;
  readonly tombstone?: boolean;
}
