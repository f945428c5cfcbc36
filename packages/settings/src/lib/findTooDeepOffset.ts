import { createScanner, type JSONScanner } from 'jsonc-parser';

/** Nesting of objects and arrays that a text may have. */
const MAXIMUM_DEPTH = 64;

/** The present token, if it is one character long. A string is longer, or a lone quote. */
function readToken(text: string, scanner: JSONScanner): string {
  return scanner.getTokenLength() === 1 ? text.charAt(scanner.getTokenOffset()) : '';
}

/** How a token changes the depth. */
function depthChange(token: string): number {
  switch (token) {
    case '{':
    case '[':
      return 1;
    case '}':
    case ']':
      return -1;
    default:
      return 0;
  }
}

/**
 * Offset of the first bracket nested too deep, or undefined. The parser recurses per
 * level, so the bound keeps a hostile text from exhausting the stack. The scanner is the
 * parser's own and does not recurse.
 */
export default function findTooDeepOffset(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  while (scanner.getPosition() < text.length) {
    scanner.scan();
    depth = Math.max(0, depth + depthChange(readToken(text, scanner)));
    if (depth > MAXIMUM_DEPTH) {
      return scanner.getTokenOffset();
    }
  }
  return undefined;
}
