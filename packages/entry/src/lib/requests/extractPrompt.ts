import type ChatBody from './ChatBody.js';

/** Text of a chat request's messages, for token estimates and prefix affinity. */
export default function extractPrompt({ messages }: ChatBody): string {
  return messages
    .map(({ content }) => (typeof content === 'string' ? content : JSON.stringify(content)))
    .join('\n');
}
