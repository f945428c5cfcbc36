/** Receives the answer to an attempt. Exactly one of `ended` and `failed` is called, once. */
export default interface AttemptListener {
  head(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void;
  data(chunk: Buffer): void;
  ended(): void;
  failed(reason: string): void;
}
