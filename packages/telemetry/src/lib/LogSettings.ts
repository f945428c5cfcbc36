/** How a process writes its log. */
export default interface LogSettings {
  /** The least severe level that is written. */
  readonly level: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** `text`: one readable line an event. `json`: one JSON object an event. */
  readonly format: 'text' | 'json';
}
