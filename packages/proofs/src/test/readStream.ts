/** A chat stream as its caller saw it. */
interface ReadStream {
  readonly text: string;
  /** Whether the stream ended with `[DONE]`. */
  readonly done: boolean;
  /** Whether the stream ended with an `error` event. */
  readonly failed: boolean;
  readonly tokens: number;
}

interface Chunk {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
}

/** Reads the events of a chat stream. */
export default function readStream(stream: string): ReadStream {
  const events = stream.split('\n\n').filter((event) => event !== '');
  const tokens = events
    .filter((event) => event.startsWith('data: {'))
    .map((event) => (JSON.parse(event.slice('data: '.length)) as Chunk).choices[0]?.delta.content)
    .filter((content) => content !== undefined);
  return {
    text: tokens.join(''),
    done: events.includes('data: [DONE]'),
    failed: events.some((event) => event.startsWith('event: error')),
    tokens: tokens.length,
  };
}
