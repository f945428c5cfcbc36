/** Answer of the plain application. */
export default interface PlainAnswer {
  readonly status: number;
  readonly body: unknown;
}
