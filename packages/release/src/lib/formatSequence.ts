const SEQUENCE_DIGITS = 12;

/** Formats a sequence with leading zeros, so that row keys sort in the order of the log. */
export default function formatSequence(sequence: number): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, '0');
}
