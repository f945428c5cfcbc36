import type { PromptPartId } from '@dandelionlane/core';
import WHOLE_REQUEST_PREFIX from './WHOLE_REQUEST_PREFIX.js';

/** Whether a name is that of a whole request, and not that of a part of prompts. */
export default function isWholeRequest(part: PromptPartId): boolean {
  return part.startsWith(WHOLE_REQUEST_PREFIX);
}
