import type ChatRequest from './ChatRequest.js';

/** The prompt text that the messages of a request make up. */
export default function promptOf(messages: ChatRequest['messages']): string {
  return messages.map(({ role, content }) => `${role}: ${content}`).join('\n');
}
