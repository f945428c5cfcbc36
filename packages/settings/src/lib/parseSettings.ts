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
  readonly syntaxFaults: readonly SettingsIssue[];
}

function parseText(text: string): Parsed {
  const tooDeep = findTooDeepOffset(text);
  if (tooDeep !== undefined) {
    return {
      root: undefined,
      syntaxFaults: [{ offset: tooDeep, path: [], expected: 'expected at most 64 levels of nesting' }],
    };
  }
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true, disallowComments: false });
  return {
    root,
    syntaxFaults: errors.map(({ error, offset }) => ({
      offset, path: [], expected: describeSyntaxError(error),
    })),
  };
}

/**
 * Faults of the schema check. In a text with syntax errors, a value that the parser
 * did not recover is no fault of its own.
 */
function listSchemaFaults(root: Node, error: Parameters<typeof findSchemaIssues>[1], isSyntaxSound: boolean) {
  return findSchemaIssues(root, error)
    .filter((fault) => isSyntaxSound || findNodeAtLocation(root, [...fault.path]) !== undefined);
}

/** Keys and indexes joined by dots; an empty key shows as two double quotes. */
function formatPath(path: SettingsIssue['path']): string {
  return path.length === 0 ? '(root)' : path.map((part) => (part === '' ? '""' : part)).join('.');
}

function formatFaults(text: string, fileName: string, faults: readonly SettingsIssue[]): string {
  const positions = new LinePositions(text);
  return [...faults]
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
 * Never throws. An error has the given kind; its message holds one line for each
 * fault of syntax or schema, in the order of the text:
 * `file:line:column path: what was expected`. A duplicate key is a fault; an unknown
 * key is one where the schema is a strict object.
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
  const { root, syntaxFaults } = parseText(content);
  if (root === undefined) {
    return err(new ServingError(formatFaults(content, fileName, syntaxFaults), { kind }));
  }
  return checkSchema(schema, getNodeValue(root)).andThen((checked) => {
    const schemaFaults = checked.success
      ? []
      : listSchemaFaults(root, checked.error, syntaxFaults.length === 0);
    const faults = [...syntaxFaults, ...findDuplicateKeys(root), ...schemaFaults];
    return checked.success && faults.length === 0
      ? ok(checked.data)
      : err(new ServingError(formatFaults(content, fileName, faults), { kind }));
  });
}
