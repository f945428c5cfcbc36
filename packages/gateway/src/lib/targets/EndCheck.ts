/** Check of the end of one answer without a length. */
export default interface EndCheck {
  /** Whether the target serves as it did when it was chosen. For the end of the answer. Never rejects. */
  readonly isServing: () => Promise<boolean>;
  /** Ends the check of an answer that needs none any more. */
  readonly close: () => void;
}
