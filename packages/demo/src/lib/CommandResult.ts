/** How a command ended. */
export default interface CommandResult {
  readonly code: number | null;
  readonly output: string;
}
