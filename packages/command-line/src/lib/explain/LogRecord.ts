/** Parsed line of a structured log. */
export default interface LogRecord {
  /** Unix time in ms, by the clock of the process that wrote it. */
  readonly at: number;
  /** Process that wrote it: the word before the JSON object or, if there is none, the file name. */
  readonly source: string;
  readonly level: string;
  readonly part: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
