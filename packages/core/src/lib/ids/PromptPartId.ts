import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifies a part of a prompt that requests may share, such as a system prompt or a document. */
const PromptPartId = z.string().regex(IDENTIFIER_PATTERN).brand<'PromptPartId'>();
type PromptPartId = z.infer<typeof PromptPartId>;

export default PromptPartId;
