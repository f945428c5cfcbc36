import { z } from 'zod';

const Chunk = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().optional() }) })),
});

/** The text of a chat stream, or null if it did not end with `[DONE]`. */
export default function readStreamText(stream: string): string | null {
  const data = stream.split('\n\n')
    .filter((event) => event.startsWith('data: '))
    .map((event) => event.slice('data: '.length));
  if (data.at(-1) !== '[DONE]') {
    return null;
  }
  return data.slice(0, -1)
    .map((text) => Chunk.parse(JSON.parse(text)).choices[0]?.delta.content ?? '')
    .join('');
}
