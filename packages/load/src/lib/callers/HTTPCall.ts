/** What is sent for a planned call. */
export default interface HTTPCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | null;
}
