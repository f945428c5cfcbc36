import type { ServerResponse } from 'node:http';
import sendAnswer from '../server/sendAnswer.js';
import type ChatAnswer from './ChatAnswer.js';
import type ChatWriter from './ChatWriter.js';

type Headers = Readonly<Record<string, string>>;

function createStreamWriter(
  outgoing: ServerResponse,
  answer: ChatAnswer,
  headers: Headers,
  duplicate: boolean,
): ChatWriter {
  function send(data: string): void {
    if (!outgoing.headersSent) {
      outgoing.writeHead(200, { ...headers, 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
    }
    const event = `data: ${data}\n\n`;
    outgoing.write(duplicate ? event + event : event);
  }

  return {
    token: (position, content) => send(JSON.stringify(answer.tokenChunk(position, content))),
    end: () => {
      send(JSON.stringify(answer.finalChunk()));
      send('[DONE]');
      outgoing.end();
    },
  };
}

/** Writer of a streamed or whole answer; a duplicate one sends every event, or the whole, twice. */
export default function createChatWriter(
  outgoing: ServerResponse,
  answer: ChatAnswer,
  headers: Headers,
  { stream, duplicate }: { readonly stream: boolean; readonly duplicate: boolean },
): ChatWriter {
  if (stream) {
    return createStreamWriter(outgoing, answer, headers, duplicate);
  }
  return {
    token: () => undefined,
    end: () => sendAnswer(outgoing, {
      status: 200,
      headers: { ...headers, 'content-type': 'application/json' },
      body: JSON.stringify(answer.wholeAnswer()),
    }, duplicate),
  };
}
