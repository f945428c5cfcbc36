/** One fault of a settings text, at a place in it. */
export default interface SettingsIssue {
  /** Offset into the text, in UTF-16 code units. */
  readonly offset: number;
  /** Keys and indexes from the root to the faulty value. */
  readonly path: readonly (string | number)[];
  /** What was expected there. */
  readonly expected: string;
}
