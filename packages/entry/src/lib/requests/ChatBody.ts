import { z } from 'zod';

/** Fields of an OpenAI-style chat completion request that an entry reads. Others pass unchanged. */
const ChatBody = z.looseObject({
  /** Name of the service. */
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
});
type ChatBody = z.infer<typeof ChatBody>;

export default ChatBody;
