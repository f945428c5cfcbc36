/** A syntax or schema error at a position of a settings text. */
export default interface SettingsIssue {
  /** Offset into the text, in UTF-16 code units. */
  readonly offset: number;
  /** Keys and indexes from the root to the invalid value. */
  readonly path: readonly (string | number)[];
  /** Describes what was expected at the position. */
  readonly expected: string;
}
