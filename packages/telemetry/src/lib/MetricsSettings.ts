/** Where metrics go. Without a host nothing is sent. */
export default interface MetricsSettings {
  readonly host?: string | undefined;
  readonly port?: number | undefined;
}
