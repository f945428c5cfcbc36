/** An answer with headers keyed by lower-case name; `data` is null for an empty or non-JSON body. */
export default interface JSONAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly data: unknown;
}
