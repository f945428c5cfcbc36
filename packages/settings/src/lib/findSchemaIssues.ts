import { findNodeAtLocation, type Node } from 'jsonc-parser';
import type { ZodError } from 'zod';
import type SettingsIssue from './SettingsIssue.js';

type SchemaIssue = ZodError['issues'][number];
type Path = readonly (string | number)[];

/** Returns the node at the path, or its nearest ancestor in the tree if the value is missing. */
function findNearestNode(root: Node, path: Path): Node {
  for (let { length } = path; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) {
      return node;
    }
  }
  return root;
}

/** Returns the offset of the key if the value belongs to one, otherwise of the value. */
function findKeyOffset(root: Node, path: Path): number {
  const node = findNearestNode(root, path);
  return node.parent?.type === 'property' ? node.parent.offset : node.offset;
}

function toPath(path: readonly PropertyKey[]): Path {
  return path.map((part) => (typeof part === 'number' ? part : String(part)));
}

/** Reports each unrecognized key as a separate issue, so that each gets its own line. */
function toSettingsIssues(root: Node, issue: SchemaIssue): readonly SettingsIssue[] {
  const path = toPath(issue.path);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      offset: findKeyOffset(root, [...path, key]), path: [...path, key], expected: 'expected no such key',
    }));
  }
  return [{
    offset: findNearestNode(root, path).offset,
    path,
    expected: issue.message.replace(/^Invalid input: /, ''),
  }];
}

/** Locates the issues of a schema check in the text's tree. */
export default function findSchemaIssues(root: Node, error: ZodError): readonly SettingsIssue[] {
  return error.issues.flatMap((issue) => toSettingsIssues(root, issue));
}
