/** Text of a token: its word, set off from the word before it. */
export default function tokenText(word: string, position: number): string {
  return position === 0 ? word : ` ${word}`;
}
