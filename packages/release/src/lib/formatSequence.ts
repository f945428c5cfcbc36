const SEQUENCE_DIGITS = 12;

/** A sequence as keys carry it, so that they sort in the order of the log. */
export default function formatSequence(sequence: number): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, '0');
}
