/** One measured figure. */
export default interface Measurement {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}
