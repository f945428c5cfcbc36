import { createScanner, type JSONScanner } from 'jsonc-parser';

/** Maximum nesting of objects and arrays. */
const MAXIMUM_DEPTH = 64;

/** Returns the current token if it is one character long. A string is longer, or a lone quote. */
function readToken(text: string, scanner: JSONScanner): string {
  return scanner.getTokenLength() === 1 ? text.charAt(scanner.getTokenOffset()) : '';
}

/** Returns the change of depth that a token causes. */
function getDepthChange(token: string): number {
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
 * Returns the offset of the first bracket that is nested too deeply, or undefined. The parser
 * recurses per level, so the limit keeps a malicious text from exhausting the stack. The
 * scanner is the one that the parser uses and does not recurse.
 */
export default function findTooDeepOffset(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  while (scanner.getPosition() < text.length) {
    scanner.scan();
    depth = Math.max(0, depth + getDepthChange(readToken(text, scanner)));
    if (depth > MAXIMUM_DEPTH) {
      return scanner.getTokenOffset();
    }
  }
  return undefined;
}
