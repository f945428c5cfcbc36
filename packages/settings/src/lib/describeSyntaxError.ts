import { type ParseErrorCode, printParseErrorCode } from 'jsonc-parser';

/** Describes what the parser expected, by the name of its error code. */
const EXPECTATIONS: Readonly<Record<string, string>> = {
  InvalidSymbol: 'expected a string, number, true, false, null, object or array',
  InvalidNumberFormat: 'expected a number as JSON writes it',
  PropertyNameExpected: 'expected a key in double quotes',
  ValueExpected: 'expected a value',
  ColonExpected: 'expected a colon after the key',
  CommaExpected: 'expected a comma',
  CloseBraceExpected: 'expected a closing brace',
  CloseBracketExpected: 'expected a closing bracket',
  EndOfFileExpected: 'expected the end of the file',
  InvalidCommentToken: 'expected no comment',
  UnexpectedEndOfComment: 'expected the end of the comment',
  UnexpectedEndOfString: 'expected the closing double quote',
  UnexpectedEndOfNumber: 'expected the rest of the number',
  InvalidUnicode: 'expected four hexadecimal digits after \\u',
  InvalidEscapeCharacter: 'expected an escape sequence that JSON knows',
  InvalidCharacter: 'expected no control character',
};

/** Converts the parser's error code to readable text. */
export default function describeSyntaxError(code: ParseErrorCode): string {
  return EXPECTATIONS[printParseErrorCode(code)] ?? 'expected valid JSON';
}
