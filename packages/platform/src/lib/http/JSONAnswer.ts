/** Status and parsed body of an answer. An empty body is null. */
export default interface JSONAnswer {
  readonly status: number;
  readonly data: unknown;
}
