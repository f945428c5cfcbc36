/** Cost of one entry while many others crash or restart at the same time. */
export default interface Churn {
  readonly entries: number;
  readonly changed: number;
  /** Sampled entries: the only seed of the restarted entries, or entries that are not a seed. */
  readonly sample: 'seed' | 'others';
  readonly event: 'crash' | 'restart';
  /** Mean over the sampled entries in the second with the most bytes. */
  readonly peakBytesPerSecond: number;
  /** Mean over the sampled entries and all seconds. */
  readonly meanBytesPerSecond: number;
  readonly seconds: number;
}
