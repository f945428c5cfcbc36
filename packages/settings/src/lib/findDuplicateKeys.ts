import { getNodePath, type Node } from 'jsonc-parser';
import type SettingsIssue from './SettingsIssue.js';

/** Lists the key nodes of an object; empty for any other node. */
function listKeys(node: Node): readonly Node[] {
  if (node.type !== 'object') {
    return [];
  }
  return (node.children ?? []).flatMap((property) => (property.children ?? []).slice(0, 1));
}

/** Finds the keys that repeat an earlier key of the same object. */
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

/** Finds the duplicate keys in the whole tree. Plain JSON parsers silently keep the last one. */
export default function findDuplicateKeys(node: Node): readonly SettingsIssue[] {
  return [...findInObject(node), ...(node.children ?? []).flatMap(findDuplicateKeys)];
}
