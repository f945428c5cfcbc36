import { Priority } from '@dandelionlane/core';
import { z } from 'zod';

const MAXIMUM_TOKENS = 100_000;
const DEFAULT_MAXIMUM_TOKENS = 16;

/** Body of `POST /v1/chat/completions`, as far as the engine stand-in reads it. */
const ChatRequest = z.object({
  model: z.string().default(''),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.number().int().min(1).max(MAXIMUM_TOKENS)
    .default(DEFAULT_MAXIMUM_TOKENS),
  stream: z.boolean().default(false),
  priority: Priority.default('interactive'),
  /** Extension: the answer starts after the tokens that the caller already has. */
  resume: z.object({ deliveredTokens: z.number().int().nonnegative() }).optional(),
});
type ChatRequest = z.infer<typeof ChatRequest>;

export default ChatRequest;
