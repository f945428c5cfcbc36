/** Answer of an entry, its body parsed as JSON; undefined where it is no JSON. */
export default interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}
