/** Answer of an entry. The body is parsed as JSON, or undefined if it is not valid JSON. */
export default interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}
