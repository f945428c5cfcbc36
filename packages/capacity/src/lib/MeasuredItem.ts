import type Measurement from './Measurement.js';

/** A part of the system whose slopes are measured on their own. */
export default interface MeasuredItem {
  readonly name: string;
  measure(): Promise<readonly Measurement[]>;
}
