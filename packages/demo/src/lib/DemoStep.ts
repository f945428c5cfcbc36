/** Outcome of one step of the demonstration. */
export default interface DemoStep {
  readonly name: string;
  readonly passed: boolean;
  readonly detail: string;
}
