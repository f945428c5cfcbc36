import {
  type ErrorKind, ServingError,
} from '@dandelionlane/core';
import {
  findNodeAtLocation, getNodeValue, type Node, type ParseError, parseTree,
} from 'jsonc-parser';
import { err, ok, Result } from 'neverthrow';
import type { ZodType } from 'zod';
import describeSyntaxError from './describeSyntaxError.js';
import findDuplicateKeys from './findDuplicateKeys.js';
import findSchemaIssues from './findSchemaIssues.js';
import findTooDeepOffset from './findTooDeepOffset.js';
import LinePositions from './LinePositions.js';
import type SettingsIssue from './SettingsIssue.js';

const BYTE_ORDER_MARK = /^\uFEFF/;

interface Parsed {
  readonly root: Node | undefined;
  readonly syntaxIssues: readonly SettingsIssue[];
}

function parseText(text: string): Parsed {
  const tooDeepOffset = findTooDeepOffset(text);
  if (tooDeepOffset !== undefined) {
    return {
      root: undefined,
      syntaxIssues: [{ offset: tooDeepOffset, path: [], expected: 'expected at most 64 levels of nesting' }],
    };
  }
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true, disallowComments: false });
  return {
    root,
    syntaxIssues: errors.map(({ error, offset }) => ({
      offset, path: [], expected: describeSyntaxError(error),
    })),
  };
}

/**
 * Lists the issues of the schema check. In a text with syntax errors, values that the parser
 * could not recover are not reported again.
 */
function listSchemaIssues(root: Node, error: Parameters<typeof findSchemaIssues>[1], isSyntaxValid: boolean) {
  return findSchemaIssues(root, error)
    .filter((issue) => isSyntaxValid || findNodeAtLocation(root, [...issue.path]) !== undefined);
}

/** Joins keys and indexes by dots. An empty key is shown as two double quotes. */
function formatPath(path: SettingsIssue['path']): string {
  return path.length === 0 ? '(root)' : path.map((part) => (part === '' ? '""' : part)).join('.');
}

function formatIssues(text: string, fileName: string, issues: readonly SettingsIssue[]): string {
  const positions = new LinePositions(text);
  return [...issues]
    .sort((left, right) => left.offset - right.offset)
    .map(({ offset, path, expected }) => (
      `${fileName}:${positions.format(offset)} ${formatPath(path)}: ${expected}`
    ))
    .join('\n');
}

function checkSchema<T>(schema: ZodType<T>, value: unknown) {
  return Result.fromThrowable(
    () => schema.safeParse(value),
    (cause) => new ServingError('the schema failed', { kind: 'internal', cause }),
  )();
}

/**
 * Parses JSON with comments and trailing commas, and checks it against a schema.
 *
 * Never throws. An error has the given kind; its message has one line for each syntax or
 * schema issue, in the order of the text: `file:line:column path: what was expected`.
 * A duplicate key is an issue; an unknown key is one if the schema is a strict object.
 *
 * @example
 * const Schema = z.strictObject({ port: z.number() });
 * parseSettings('{ "port": 80, } // local', 'entry.jsonc', Schema, 'settings-invalid');
 */
export default function parseSettings<T>(
  text: string,
  fileName: string,
  schema: ZodType<T>,
  kind: ErrorKind,
): Result<T, ServingError> {
  const content = text.replace(BYTE_ORDER_MARK, '');
  const { root, syntaxIssues } = parseText(content);
  if (root === undefined) {
    return err(new ServingError(formatIssues(content, fileName, syntaxIssues), { kind }));
  }
  return checkSchema(schema, getNodeValue(root)).andThen((checked) => {
    const schemaIssues = checked.success
      ? []
      : listSchemaIssues(root, checked.error, syntaxIssues.length === 0);
    const issues = [...syntaxIssues, ...findDuplicateKeys(root), ...schemaIssues];
    return checked.success && issues.length === 0
      ? ok(checked.data)
      : err(new ServingError(formatIssues(content, fileName, issues), { kind }));
  });
}
