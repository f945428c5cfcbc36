/** Address that a server listens on. */
export default interface ListenAddress {
  readonly host: string;
  readonly port: number;
}
