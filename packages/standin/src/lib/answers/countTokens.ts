const CHARACTERS_PER_TOKEN = 4;

/** Number of tokens of a text, an estimate. */
export default function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
