/** Nesting of objects and arrays that a text may have. */
const MAXIMUM_DEPTH = 64;

/**
 * A string, a comment or a bracket, whichever comes first; brackets in the first two do
 * not count. Invariant: strings and comments end where the parser's scanner ends them,
 * also the unfinished ones.
 */
const TOKENS = /"(?:[^"\\\r\n]|\\[\s\S])*"?|\/\/[^\r\n]*|\/\*[\s\S]*?(?:\*\/|$)|[[\]{}]/g;

/**
 * Offset of the first bracket nested too deep, or undefined. The parser recurses per
 * level, so the bound keeps a hostile text from exhausting the stack.
 */
export default function findTooDeepOffset(text: string): number | undefined {
  let depth = 0;
  for (const { 0: token, index } of text.matchAll(TOKENS)) {
    if (token === '{' || token === '[') {
      depth += 1;
    } else if (token === '}' || token === ']') {
      depth = Math.max(0, depth - 1);
    }
    if (depth > MAXIMUM_DEPTH) {
      return index;
    }
  }
  return undefined;
}
