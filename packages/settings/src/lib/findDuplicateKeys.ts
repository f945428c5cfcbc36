import { getNodePath, type Node } from 'jsonc-parser';
import type SettingsIssue from './SettingsIssue.js';

/** Key nodes of an object; empty for any other node. */
function listKeys(node: Node): readonly Node[] {
  if (node.type !== 'object') {
    return [];
  }
  return (node.children ?? []).flatMap((property) => (property.children ?? []).slice(0, 1));
}

/** Keys of one object that stand there a second time. */
function findInObject(node: Node): readonly SettingsIssue[] {
  const seen = new Set<string>();
  return listKeys(node).flatMap((key) => {
    const name = String(key.value);
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    return [{
      offset: key.offset, path: [...getNodePath(node), name], expected: 'expected each key once',
    }];
  });
}

/** Duplicate keys in the whole tree. Plain JSON parsers silently keep the last one. */
export default function findDuplicateKeys(node: Node): readonly SettingsIssue[] {
  return [...findInObject(node), ...(node.children ?? []).flatMap(findDuplicateKeys)];
}
